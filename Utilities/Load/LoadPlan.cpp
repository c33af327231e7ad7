#include "LoadPlan.h"

#include <exception>
#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

LoadStream readStream(const nlohmann::json &From) {
  LoadStream Read;
  Read.Name = From.at("name");
  Read.Class = From.value("class", Read.Class);
  Read.Model = From.value("model", Read.Model);
  Read.Path = From.value("path", Read.Path);
  Read.Rate = From.value("rate", Read.Rate);
  Read.Concurrency = From.value("concurrency", Read.Concurrency);
  Read.StartMs = From.value("start_ms", Read.StartMs);
  Read.EndMs = From.at("end_ms");
  Read.PromptWords = From.value("prompt_words", Read.PromptWords);
  Read.MaxTokens = From.value("max_tokens", Read.MaxTokens);
  Read.LongShare = From.value("long_share", Read.LongShare);
  Read.LongTokens = From.value("long_tokens", Read.LongTokens);
  Read.Prefixes = From.value("prefixes", Read.Prefixes);
  Read.PromptSuffix = From.value("prompt_suffix", Read.PromptSuffix);
  Read.Stream = From.value("stream", Read.Stream);
  return Read;
}

} // namespace

Result<LoadPlan> parseLoadPlan(const std::string &Text) {
  try {
    const nlohmann::json From = nlohmann::json::parse(Text);
    LoadPlan Plan;
    Plan.Seed = From.value("seed", Plan.Seed);
    Plan.Targets = From.at("targets").get<std::vector<std::string>>();
    Plan.Key = From.value("key", Plan.Key);
    Plan.WarmupMs = From.value("warmup_ms", Plan.WarmupMs);
    Plan.GraceMs = From.value("grace_ms", Plan.GraceMs);
    Plan.SamplesFile = From.value("samples_file", Plan.SamplesFile);
    for (const nlohmann::json &Stream : From.at("streams"))
      Plan.Streams.push_back(readStream(Stream));
    return Plan;
  } catch (const std::exception &Failure) {
    return failure(ErrorCode::Malformed,
                   std::string("The plan is not valid: ") + Failure.what());
  }
}

} // namespace turmericpass
