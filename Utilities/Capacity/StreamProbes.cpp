#include "Backends/EngineProtocol.h"
#include "Backends/EventStreamParser.h"
#include "CapacityReport.h"
#include "Completions/CompletionWriter.h"
#include "Probes.h"

#include <string>

namespace turmericpass {

/// The two ends of a token's way: an engine's event read by the dispatcher,
/// and the caller's event written by the gateway, without the sockets.
void probeStreams(CapacityReport &Out) {
  constexpr std::size_t MaxBytes = std::size_t{1} << 20U;
  const std::string Event =
      "data: {\"id\":\"c1\",\"object\":\"chat.completion.chunk\",\"created\":"
      "1764831490,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":"
      "{\"content\":\" word\"},\"finish_reason\":null}],\"token_ids\":[40123]}"
      "\n\n";
  for (const int Count : {4000, 8000, 16000, 32000}) {
    const auto Size = static_cast<double>(Count);
    EventStreamParser Parser(MaxBytes);
    std::size_t Tokens = 0;
    double Begun = cpuMicros();
    for (int I = 0; I < Count; ++I) {
      const auto Events = Parser.feed(Event);
      if (!Events)
        return;
      for (const std::string &Data : *Events)
        if (const auto Read = parseEngineEvent(Data))
          Tokens += Read->Tokens.Ids.size();
    }
    Out.add("stream.engine_event_cpu_us", "tokens", Size, cpuMicros() - Begun);
    Out.add("stream.engine_tokens_read", "tokens", Size,
            static_cast<double>(Tokens));
    CompletionWriter Writer({"c1", "m", true, 1764831490, 300});
    std::size_t Bytes = 0;
    Begun = cpuMicros();
    for (int I = 0; I < Count; ++I)
      Bytes += Writer.formatText(" word").size();
    Out.add("stream.caller_event_cpu_us", "tokens", Size, cpuMicros() - Begun);
    Out.add("stream.caller_event_bytes", "tokens", Size,
            static_cast<double>(Bytes));
  }
}

} // namespace turmericpass
