#include "Jobs/BatchStatus.h"
#include "Jobs/TableJobService.h"
#include "Support/MemoryObjectStore.h"
#include "Support/MemoryTable.h"

#include <criterion/criterion.h>
#include <set>

using namespace turmericpass;

namespace {

template <typename T> struct ResultRecorder {
  Result<T> Value = failure(ErrorCode::Internal, "no answer");

  auto callback() {
    return [this](Result<T> Received) { this->Value = std::move(Received); };
  }
};

struct JobServiceFixture {
  JobServiceFixture() : Service(Rows, Objects, Time, Ids) {}
  explicit JobServiceFixture(const JobServiceFixture &Other)
      : Rows(Other.Rows.rows()), Objects(Other.Objects.objects()), Ids(9),
        Service(Rows, Objects, Time, Ids) {}

  Result<FileRecord> upload(const std::string &Text) {
    ResultRecorder<FileRecord> Received;
    this->Service.putFile("c", "in.jsonl", Text, Received.callback());
    return Received.Value;
  }

  Result<JobRecord> submit(const std::string &File, const std::string &Key) {
    ResultRecorder<JobRecord> Received;
    this->Service.submit(
        {"c", "night", File, "/v1/chat/completions", Key, 1000},
        Received.callback());
    return Received.Value;
  }

  std::size_t countJobs() const {
    std::size_t Count = 0;
    for (const auto &[Key, Row] : *this->Rows.rows())
      Count += Key.starts_with("job/") ? 1 : 0;
    return Count;
  }

  MemoryTable Rows;
  MemoryObjectStore Objects;
  ManualClock Time;
  IdSource Ids{3};
  TableJobService Service;
};

std::string makeLines(int Count) {
  std::string Text;
  for (int I = 0; I < Count; ++I)
    Text += "{\"custom_id\":\"i" + std::to_string(I) + "\"}\n";
  return Text;
}

} // namespace

// Guards against a file that is not returned byte for byte, including blank
// lines, and against access by another customer.
Test(JobService, FileIsReadBackAsItWas) {
  JobServiceFixture Fixture;
  const std::string Text = "\n" + makeLines(130) + "\r\n\n{broken";
  const Result<FileRecord> File = Fixture.upload(Text);
  cr_assert(File);
  ResultRecorder<std::string> Own;
  Fixture.Service.readFile("c", File->Id, Own.callback());
  cr_assert(Own.Value && *Own.Value == Text);
  ResultRecorder<std::string> Foreign;
  Fixture.Service.readFile("d", File->Id, Foreign.callback());
  cr_assert(Foreign.Value.error().Code == ErrorCode::NotFound);
  cr_assert(Fixture.submit(File->Id, "k")->TotalItems == 131);
}

// Guards against creating a second job for a resend. The test lets each store
// call of the first submission fail in each way.
Test(JobService, ResendFindsTheSameJob) {
  for (const StoreFault Fault :
       {StoreFault::Unavailable, StoreFault::ReplyLost, StoreFault::LateEffect,
        StoreFault::CrashBefore, StoreFault::CrashAfter})
    for (std::size_t Call = 0; Call < 4; ++Call) {
      JobServiceFixture First;
      const Result<FileRecord> File = First.upload(makeLines(3));
      First.Rows.Faults.Next.assign(Call, StoreFault::None);
      First.Rows.Faults.Next.push_back(Fault);
      const Result<JobRecord> Sent = First.submit(File->Id, "k");
      JobServiceFixture Second(First);
      const Result<JobRecord> Again = Second.submit(File->Id, "k");
      First.Rows.Faults.release();
      cr_assert(Again && (!Sent || Sent->Id == Again->Id));
      cr_assert(First.countJobs() == 1);
    }
}

// Guards against refusing a client that repeats the upload and the submission
// of a job, because its second upload results in another file. The test lets
// each store call of the first upload fail in each way.
Test(JobService, JobSentAgainFromTheStartIsTheSameJob) {
  const std::string Text = makeLines(130);
  for (const StoreFault Fault :
       {StoreFault::None, StoreFault::Unavailable, StoreFault::ReplyLost,
        StoreFault::LateEffect, StoreFault::CrashBefore,
        StoreFault::CrashAfter})
    for (const bool InRows : {true, false})
      for (std::size_t Call = 0; Call < 4; ++Call) {
        JobServiceFixture First;
        StoreFaults &Faults = InRows ? First.Rows.Faults : First.Objects.Faults;
        Faults.Next.assign(Call, StoreFault::None);
        Faults.Next.insert(Faults.Next.end(), 3, Fault);
        const Result<FileRecord> Sent = First.upload(Text);
        const Result<JobRecord> Job =
            Sent ? First.submit(Sent->Id, "k")
                 : Result<JobRecord>(tl::make_unexpected(Sent.error()));
        JobServiceFixture Second(First);
        Second.Time.advance(std::chrono::seconds(5));
        const Result<FileRecord> Again = Second.upload(Text);
        cr_assert(Again && (!Sent || (Sent->Id == Again->Id &&
                                      Sent->CreatedMs == Again->CreatedMs)));
        const Result<JobRecord> Resent = Second.submit(Again->Id, "k");
        cr_assert(Resent && (!Job || Job->Id == Resent->Id));
        Faults.release();
        ResultRecorder<std::string> Read;
        Second.Service.readFile("c", Again->Id, Read.callback());
        cr_assert(Read.Value && *Read.Value == Text);
        cr_assert(Second.countJobs() == 1);
      }
}

// Guards against treating different uploads as the same file.
Test(JobService, OtherCustomerNameOrBytesAreAnotherFile) {
  JobServiceFixture Fixture;
  std::set<std::string> Ids;
  for (const char *Customer : {"c", "d"})
    for (const char *Name : {"in", "out"})
      for (const char *Text : {"{}\n", "{}\n{}\n"})
        Fixture.Service.putFile(
            Customer, Name, Text,
            [&](const Result<FileRecord> &File) { Ids.insert(File->Id); });
  cr_assert(Ids.size() == 8);
}

// Guards against accepting one key for two different jobs.
Test(JobService, KeyOfAnotherJobIsAConflict) {
  JobServiceFixture Fixture;
  const std::string A = Fixture.upload(makeLines(1))->Id;
  const std::string B = Fixture.upload(makeLines(2))->Id;
  cr_assert(Fixture.submit(A, "k"));
  cr_assert(Fixture.submit(B, "k").error().Code == ErrorCode::Conflict);
  const std::string Empty = Fixture.upload(" \n")->Id;
  cr_assert(Fixture.submit(Empty, "e").error().Code == ErrorCode::Malformed);
}

// Guards against accepting an upload whose pieces are not stored.
Test(JobService, UploadWithoutObjectsIsRefused) {
  JobServiceFixture Fixture;
  Fixture.Objects.Faults.Always = StoreFault::Unavailable;
  cr_assert(Fixture.upload(makeLines(3)).error().Code ==
            ErrorCode::Unavailable);
}

// Guards against presenting partial results as complete.
Test(JobService, StatusMessageTellsPartialResults) {
  const std::string Counts =
      R"(,"request_counts":{"total":9,"completed":3,"failed":1}})";
  for (const char *State : {"in_progress", "cancelling", "completed"}) {
    const std::string Text =
        formatBatchStatus(R"({"status":")" + std::string(State) + '"' + Counts);
    cr_assert(Text.find(State) != std::string::npos);
    cr_assert(Text.find("4 of 9 items") != std::string::npos);
    cr_assert((Text.find("not complete yet") != std::string::npos) ==
              (std::string(State) != "completed"));
  }
  cr_assert(formatBatchStatus("[]") == "status: unknown");
}
