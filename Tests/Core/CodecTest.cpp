#include "Wire/Codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

Finish sampleFinish() {
  Finish Sent;
  Sent.RequestId = "r1";
  Sent.Attempt = 3;
  Sent.Code = FinishCode::Overloaded;
  Sent.Ran = Execution::NotRun;
  Sent.Detail = "full";
  Sent.Load = {"nosing", 4, 1, 2, 30};
  return Sent;
}

} // namespace

Test(Codec, GivesBackEveryFieldOfAFinish) {
  const Result<std::string> Bytes = encode({"127.0.0.1:1", sampleFinish()});
  cr_assert(Bytes.has_value());
  const Result<Envelope> Back = decode(*Bytes);
  cr_assert(Back.has_value());
  const auto &Decoded = std::get<Finish>(Back->Body);
  cr_assert(Back->From == "127.0.0.1:1");
  cr_assert(Decoded.Attempt == 3);
  cr_assert(Decoded.Code == FinishCode::Overloaded);
  cr_assert(Decoded.Ran == Execution::NotRun);
  cr_assert(Decoded.Load.ExpectedWaitMs == 30);
}

Test(Codec, GivesBackTokensOfAnyChunk) {
  cr_assert(rc::check([](const std::string &Id,
                         const std::vector<std::uint32_t> &Tokens,
                         const std::vector<std::string> &Texts) {
    Chunk Sent{Id, 1, 7, Tokens, Texts};
    const Result<std::string> Bytes = encode({"127.0.0.1:1", Sent});
    RC_ASSERT(Bytes.has_value());
    const Result<Envelope> Back = decode(*Bytes);
    RC_ASSERT(Back.has_value());
    const auto &Decoded = std::get<Chunk>(Back->Body);
    RC_ASSERT(Decoded.RequestId == Id);
    RC_ASSERT(Decoded.TokenIds == Tokens);
    RC_ASSERT(Decoded.Texts == Texts);
  }));
}

// Guards against a process that crashes on a truncated or unrelated message.
Test(Codec, RefusesEveryTruncation) {
  const std::string Bytes = *encode({"127.0.0.1:1", sampleFinish()});
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    cr_assert(!decode(Bytes.substr(0, Length)).has_value());
  cr_assert(!decode(Bytes + "x").has_value());
}

Test(Codec, RefusesOrReadsAnyBytesWithoutFailure) {
  cr_assert(rc::check([](const std::string &Bytes) {
    const Result<Envelope> Decoded = decode(Bytes);
    RC_ASSERT(Decoded.has_value() ||
              Decoded.error().Code == ErrorCode::Malformed);
  }));
}

// Guards against a crash or a huge allocation on a corrupted message. Each byte
// is set to each value in turn; the message must be rejected or decoded.
Test(Codec, SurvivesEveryChangedByte) {
  const std::string Bytes = *encode({"127.0.0.1:1", sampleFinish()});
  for (std::size_t I = 0; I < Bytes.size(); ++I)
    for (int Value = 0; Value < 256; ++Value) {
      std::string Changed = Bytes;
      Changed[I] = static_cast<char>(Value);
      const Result<Envelope> Decoded = decode(Changed);
      cr_assert(Decoded.has_value() ||
                Decoded.error().Code == ErrorCode::Malformed);
    }
}

Test(Codec, RefusesAnotherProtocolVersion) {
  std::string Bytes = *encode({"127.0.0.1:1", sampleFinish()});
  cr_assert(Bytes[1] == static_cast<char>(ProtocolVersion));
  Bytes[1] = static_cast<char>(ProtocolVersion + 1);
  cr_assert(!decode(Bytes).has_value());
}
