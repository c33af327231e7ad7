#include "Backends/EventStreamParser.h"
#include "Backends/EngineProtocol.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

constexpr std::size_t Limit = 4096;

std::string makeStream(const std::vector<std::uint32_t> &Ids, bool Crlf) {
  const std::string End = Crlf ? "\r\n" : "\n";
  std::string Stream = ": comment" + End;
  for (const std::uint32_t Id : Ids)
    Stream += "event: x" + End + "data: {\"choices\":[{\"text\":\" w\"}]," +
              End + "data:\"token_ids\":[" + std::to_string(Id) + "]}" + End +
              End;
  return Stream + "data: [DONE]" + End + End;
}

/// Parses \p Stream in pieces of the sizes \p Cuts, then the rest in one piece.
/// Returns the token ids.
std::vector<std::uint32_t> readIds(std::string_view Stream,
                                   const std::vector<std::uint8_t> &Cuts) {
  EventStreamParser Parser(Limit);
  std::vector<std::uint32_t> Ids;
  bool SawEnd = false;
  const auto Feed = [&](std::string_view Piece) {
    const auto Events = Parser.feed(Piece);
    RC_ASSERT(Events.has_value());
    for (const std::string &Data : *Events) {
      SawEnd = Data == DoneEvent;
      if (SawEnd)
        continue;
      const Result<EngineEvent> Event = parseEngineEvent(Data);
      RC_ASSERT(Event.has_value());
      Ids.insert(Ids.end(), Event->Tokens.Ids.begin(), Event->Tokens.Ids.end());
    }
  };
  for (const std::uint8_t Cut : Cuts) {
    Feed(Stream.substr(0, Cut));
    Stream.remove_prefix(std::min<std::size_t>(Cut, Stream.size()));
  }
  Feed(Stream);
  RC_ASSERT(SawEnd);
  RC_ASSERT(!Parser.isInsideEvent());
  return Ids;
}

} // namespace

// Guards against tokens being lost or read twice where the network splits a
// stream.
Test(EventStream, AnyCutGivesTheSameTokens) {
  cr_assert(rc::check([](const std::vector<std::uint32_t> &Ids, bool Crlf,
                         const std::vector<std::uint8_t> &Cuts) {
    RC_ASSERT(readIds(makeStream(Ids, Crlf), Cuts) == Ids);
  }));
}

// Guards against invalid data from a server crashing the process.
Test(EventStream, AnyBytesGiveEventsOrAnError) {
  cr_assert(rc::check([](const std::string &Bytes, std::size_t At) {
    EventStreamParser Parser(Limit);
    std::string Broken = makeStream({1, 2}, false);
    Broken.replace(At % Broken.size(), 3, Bytes);
    const auto Events = Parser.feed(Broken);
    if (Events)
      for (const std::string &Data : *Events)
        (void)parseEngineEvent(Data);
    (void)parseEngineEvent(Bytes);
    (void)parseLoadReport(Bytes);
    (void)parseCacheEvents(Bytes);
  }));
}

// Guards against unbounded memory use for a line or an event without end.
Test(EventStream, OversizedEventsAreErrors) {
  EventStreamParser OneLine(Limit);
  cr_assert(OneLine.feed(std::string(Limit, 'x')).has_value());
  cr_assert(OneLine.feed("x").error().Code == ErrorCode::TooLarge);
  EventStreamParser ManyLines(Limit);
  const std::string Line = "data: " + std::string(Limit / 2, 'x') + "\n";
  cr_assert(ManyLines.feed(Line).has_value());
  cr_assert(ManyLines.feed(Line + Line).error().Code == ErrorCode::TooLarge);
}

// Guards against accepting fields of a wrong type and text without token ids,
// after which an answer cannot be resumed.
Test(EventStream, EventsWithoutTheAgreedFieldsAreMalformed) {
  for (const char *Data : {"", "{", "[]", "null", "{\"choices\":3}",
                           "{\"choices\":[{\"text\":\"a\"}]}",
                           "{\"choices\":[{\"text\":7}],\"token_ids\":[1]}",
                           "{\"choices\":[],\"token_ids\":[-1]}",
                           "{\"choices\":[],\"token_ids\":[4294967296]}",
                           "{\"choices\":[],\"token_ids\":\"1\"}"})
    cr_assert(parseEngineEvent(Data).error().Code == ErrorCode::Malformed, "%s",
              Data);
}

Test(EventStream, EachTokenHasAText) {
  const auto Event = parseEngineEvent(
      R"({"choices":[{"delta":{"content":"ab"},"finish_reason":"stop"}],)"
      R"("token_ids":[1,2]})");
  cr_assert(Event.has_value());
  cr_assert(Event->Tokens.Texts == std::vector<std::string>({"ab", ""}));
  cr_assert(Event->Reason == "stop");
}
