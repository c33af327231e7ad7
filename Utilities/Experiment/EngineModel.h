#ifndef TURMERICPASS_EXPERIMENT_ENGINEMODEL_H
#define TURMERICPASS_EXPERIMENT_ENGINEMODEL_H

#include "Core/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace turmericpass {

/// What an engine can do. The defaults are those of the engines that the
/// project's users run.
struct EngineTraits {
  /// Requests that run at once.
  int Slots = 8;
  /// A step makes one token of each running request.
  double StepMillis = 3.88;
  /// Added to a step for each request that runs.
  double StepMillisPerRequest = 0.0276;
  double PromptTokensPerMilli = 66.2;
  /// Prompt tokens that one step reads at most.
  std::uint64_t ChunkTokens = 1024;
  /// Memory for running requests and kept prompt parts.
  std::uint64_t MemoryTokens = 147'261;
};

/// A part of a prompt. Requests with the same first parts share them.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint64_t Tokens = 0;
};

using RunId = std::uint64_t;

/// What an engine is asked to do.
struct EngineRequest {
  RunId Id = 0;
  std::vector<PromptPart> Prompt;
  /// Tokens that an earlier run made; they are read like a prompt.
  std::uint64_t MadeTokens = 0;
  std::uint64_t OutputTokens = 0;
};

/// What a step made of one request.
struct StepResult {
  RunId Id = 0;
  /// All tokens made so far, those of earlier runs counted.
  std::uint64_t MadeTokens = 0;
  bool Finished = false;
};

/// A model of a model engine: continuous batching in steps, prompts read in
/// chunks between the tokens of other requests, prompt parts kept in what
/// memory is free, and the newest request preempted when memory runs out. It
/// has no I/O and no clock of its own.
class EngineModel {
public:
  explicit EngineModel(EngineTraits Traits) : Traits(Traits) {}

  void submit(EngineRequest Request, Instant Now);
  /// The request is gone, whether it ran or waited.
  void cancel(RunId Id);
  /// Work takes \p Factor times as long from the next step on.
  void setSlowness(double Factor) { this->Slowness = Factor; }

  /// When the step in progress ends; nothing if the engine is idle.
  std::optional<Instant> stepEnd() const { return this->StepEnd; }
  /// Ends the step in progress and starts the next one.
  std::vector<StepResult> endStep();

  std::size_t running() const { return this->Running.size(); }
  std::size_t waiting() const { return this->Queue.size(); }
  /// Prompt tokens that were read, and those that were found kept.
  std::uint64_t readTokens() const { return this->ReadTokens; }
  std::uint64_t keptTokens() const { return this->FoundTokens; }
  int preemptions() const { return this->Preemptions; }

private:
  struct Run {
    EngineRequest Request;
    std::uint64_t ToRead = 0;
    std::uint64_t Made = 0;
  };
  struct KeptPart {
    std::uint64_t Chain = 0;
    std::uint64_t Tokens = 0;
  };

  void admit();
  void startStep(Instant Now);
  void keep(const Run &Ended);
  std::uint64_t takeKept(const EngineRequest &Request);
  std::uint64_t usedTokens() const;
  void preemptBeyondMemory();

  EngineTraits Traits;
  double Slowness = 1;
  std::deque<EngineRequest> Queue;
  /// In order of admission.
  std::vector<Run> Running;
  /// The prompt tokens that the step in progress reads, by run.
  std::map<RunId, std::uint64_t> Reading;
  std::optional<Instant> StepEnd;
  /// The least recently used part is last.
  std::list<KeptPart> Kept;
  std::uint64_t KeptTokens = 0;
  std::uint64_t ReadTokens = 0;
  std::uint64_t FoundTokens = 0;
  int Preemptions = 0;
};

} // namespace turmericpass

#endif
