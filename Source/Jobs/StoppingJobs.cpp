#include "Jobs/StoppingJobs.h"

#include "Jobs/JobRows.h"

namespace turmericpass {

namespace {

constexpr std::size_t PageRows = 1000;

} // namespace

void StoppingJobs::tick() {
  const Instant Now = this->Time.now();
  if (this->Busy || Now < this->NextRead)
    return;
  this->Busy = true;
  this->NextRead = Now + StoppingJobsReadPeriod;
  this->PendingJobIds.clear();
  this->readPage("", Now);
}

void StoppingJobs::readPage(const std::string &After, Instant Sent) {
  this->Rows.scan(std::string(StopPrefix), After, PageRows,
                  [this, Sent](const Result<std::vector<TableRow>> &Page) {
                    this->onPage(Page, Sent);
                  });
}

void StoppingJobs::onPage(const Result<std::vector<TableRow>> &Page,
                          Instant Sent) {
  if (!Page) {
    this->Busy = false;
    return;
  }
  for (const TableRow &Row : *Page)
    this->PendingJobIds.insert(Row.Key.substr(StopPrefix.size()));
  if (Page->size() == PageRows)
    return this->readPage(Page->back().Key, Sent);
  this->Busy = false;
  this->WasRead = true;
  this->LastRead = Sent;
  this->JobIds.swap(this->PendingJobIds);
}

bool StoppingJobs::isFresh() const {
  return this->WasRead &&
         this->Time.now() - this->LastRead <= StoppingJobsMaxAge;
}

} // namespace turmericpass
