#include "Jobs/IntentRow.h"

#include "Core/EnumTable.h"
#include "Core/Hash.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

constexpr auto StateNames = makeEnumTable<IntentState>({
    {IntentState::Begun, "begun"},
    {IntentState::Done, "done"},
    {IntentState::Released, "released"},
});

constexpr auto VerdictNames = makeEnumTable<IntentVerdict>({
    {IntentVerdict::Proceed, "proceed"},
    {IntentVerdict::Replay, "replay"},
    {IntentVerdict::InProgress, "in_progress"},
    {IntentVerdict::Mismatch, "mismatch"},
});

/// Encodes each byte as the Unicode character of the same value, because a body
/// may hold any bytes and JSON text must be valid UTF-8.
std::string encodeLatin1(const std::string &Bytes) {
  std::string Text;
  Text.reserve(Bytes.size());
  for (const char Character : Bytes) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Byte < 0x80) {
      Text += Character;
    } else {
      Text += static_cast<char>(0xC0U | (Byte >> 6U));
      Text += static_cast<char>(0x80U | (Byte & 0x3FU));
    }
  }
  return Text;
}

std::string decodeLatin1(const std::string &Text) {
  std::string Bytes;
  Bytes.reserve(Text.size());
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const auto Byte = static_cast<unsigned char>(Text[I]);
    if (Byte < 0x80 || I + 1 == Text.size()) {
      Bytes += Text[I];
    } else {
      const auto Next = static_cast<unsigned char>(Text[++I]);
      Bytes += static_cast<char>(((Byte & 0x03U) << 6U) | (Next & 0x3FU));
    }
  }
  return Bytes;
}

} // namespace

std::string_view toName(IntentState State) { return StateNames.nameOf(State); }

std::string_view toName(IntentVerdict Verdict) {
  return VerdictNames.nameOf(Verdict);
}

std::string intentRowKey(const IntentKey &Key) {
  return "intent/" + Key.Customer + "/" + sha256Hex(Key.IdempotencyKey);
}

std::string encodeIntentRow(const IntentRow &Row) {
  Json Text = {{"state", toName(Row.State)},
               {"attempt", Row.AttemptId},
               {"request", Row.RequestHash},
               {"since", Row.SinceMs}};
  if (Row.State == IntentState::Done) {
    Text["ran"] = static_cast<int>(Row.Outcome.Ran);
    Text["status"] = Row.Outcome.Status;
    Text["type"] = encodeLatin1(Row.Outcome.ContentType);
    Text["body"] = encodeLatin1(Row.Outcome.Body);
  }
  return Text.dump();
}

Result<IntentRow> decodeIntentRow(const std::string &Text) {
  try {
    const Json Value = Json::parse(Text);
    IntentRow Row;
    const auto State = StateNames.valueOf(Value.at("state").get<std::string>());
    if (!State)
      return failure(ErrorCode::Malformed,
                     "The intent row's state is unknown.");
    Row.State = *State;
    Row.AttemptId = Value.at("attempt").get<std::string>();
    Row.RequestHash = Value.at("request").get<std::string>();
    Row.SinceMs = Value.at("since").get<std::int64_t>();
    if (Row.State == IntentState::Done) {
      Row.Outcome.Ran = static_cast<Execution>(Value.at("ran").get<int>());
      Row.Outcome.Status = Value.at("status").get<std::uint32_t>();
      Row.Outcome.ContentType =
          decodeLatin1(Value.at("type").get<std::string>());
      Row.Outcome.Body = decodeLatin1(Value.at("body").get<std::string>());
    }
    return Row;
  } catch (const Json::exception &Problem) {
    return failure(ErrorCode::Malformed,
                   std::string("The intent row is no valid JSON object: ") +
                       Problem.what());
  }
}

} // namespace turmericpass
