#ifndef TURMERICPASS_TESTS_STANDINS_ENGINEEVENTS_H
#define TURMERICPASS_TESTS_STANDINS_ENGINEEVENTS_H

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace turmericpass {

struct EnginePrompt;

/// An event that is not valid JSON.
inline constexpr const char *GarbageEvent = "data: {\"choices\": [}\n\n";

/// Returns the event that carries one token.
std::string tokenEvent(const EnginePrompt &Prompt, const std::string &Model,
                       std::uint32_t Token);

/// Returns the events that end a stream.
std::string endEvents(const EnginePrompt &Prompt, const std::string &Model);

/// Returns the answer to a request that does not stream.
nlohmann::json wholeAnswer(const EnginePrompt &Prompt, const std::string &Model,
                           const std::vector<std::uint32_t> &Tokens);

} // namespace turmericpass

#endif
