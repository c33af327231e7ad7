#include "EngineModel.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::uint64_t ChainFactor = 0x9E3779B97F4A7C15ULL;

/// Names a part together with all parts before it.
std::uint64_t chainOf(std::uint64_t Before, const PromptPart &Part) {
  return (Before ^ Part.Id) * ChainFactor + Part.Tokens;
}

} // namespace

void EngineModel::submit(EngineRequest Request, Instant Now) {
  this->Queue.push_back(std::move(Request));
  if (!this->StepEnd)
    this->startStep(Now);
}

void EngineModel::cancel(RunId Id) {
  std::erase_if(this->Queue,
                [Id](const EngineRequest &Each) { return Each.Id == Id; });
  std::erase_if(this->Running,
                [Id](const Run &Each) { return Each.Request.Id == Id; });
  this->Reading.erase(Id);
}

std::uint64_t EngineModel::usedTokens() const {
  std::uint64_t Used = 0;
  for (const Run &Each : this->Running) {
    for (const PromptPart &Part : Each.Request.Prompt)
      Used += Part.Tokens;
    Used += Each.Made;
  }
  return Used;
}

std::uint64_t EngineModel::takeKept(const EngineRequest &Request) {
  std::uint64_t Chain = 0;
  std::uint64_t Found = 0;
  for (const PromptPart &Part : Request.Prompt) {
    Chain = chainOf(Chain, Part);
    const auto At =
        std::find_if(this->Kept.begin(), this->Kept.end(),
                     [&](const KeptPart &Each) { return Each.Chain == Chain; });
    if (At == this->Kept.end())
      break;
    this->Kept.splice(this->Kept.begin(), this->Kept, At);
    Found += Part.Tokens;
  }
  return Found;
}

void EngineModel::keep(const Run &Ended) {
  std::uint64_t Chain = 0;
  for (const PromptPart &Part : Ended.Request.Prompt) {
    Chain = chainOf(Chain, Part);
    const auto At =
        std::find_if(this->Kept.begin(), this->Kept.end(),
                     [&](const KeptPart &Each) { return Each.Chain == Chain; });
    if (At != this->Kept.end())
      continue;
    this->Kept.push_front({Chain, Part.Tokens});
    this->KeptTokens += Part.Tokens;
  }
}

void EngineModel::admit() {
  while (!this->Queue.empty() &&
         this->Running.size() < static_cast<std::size_t>(this->Traits.Slots)) {
    EngineRequest Next = std::move(this->Queue.front());
    this->Queue.pop_front();
    std::uint64_t Prompt = 0;
    for (const PromptPart &Part : Next.Prompt)
      Prompt += Part.Tokens;
    const std::uint64_t Found = this->takeKept(Next);
    this->FoundTokens += Found;
    Run Admitted;
    Admitted.ToRead = Prompt - Found + Next.MadeTokens;
    Admitted.Made = Next.MadeTokens;
    Admitted.Request = std::move(Next);
    this->Running.push_back(std::move(Admitted));
  }
}

void EngineModel::preemptBeyondMemory() {
  while (this->Running.size() > 1 &&
         this->usedTokens() > this->Traits.MemoryTokens) {
    Run Newest = std::move(this->Running.back());
    this->Running.pop_back();
    this->Reading.erase(Newest.Request.Id);
    Newest.Request.MadeTokens = Newest.Made;
    this->Queue.push_front(std::move(Newest.Request));
    ++this->Preemptions;
  }
  const std::uint64_t Used = this->usedTokens();
  while (!this->Kept.empty() &&
         Used + this->KeptTokens > this->Traits.MemoryTokens) {
    this->KeptTokens -= this->Kept.back().Tokens;
    this->Kept.pop_back();
  }
}

void EngineModel::startStep(Instant Now) {
  this->admit();
  this->preemptBeyondMemory();
  this->Reading.clear();
  this->StepEnd.reset();
  if (this->Running.empty())
    return;
  std::uint64_t Chunk = this->Traits.ChunkTokens;
  for (const Run &Each : this->Running) {
    const std::uint64_t Share = std::min(Chunk, Each.ToRead);
    if (Share > 0)
      this->Reading[Each.Request.Id] = Share;
    Chunk -= Share;
  }
  const auto Read = static_cast<double>(this->Traits.ChunkTokens - Chunk);
  const double Millis = (this->Traits.StepMillis +
                         this->Traits.StepMillisPerRequest *
                             static_cast<double>(this->Running.size()) +
                         Read / this->Traits.PromptTokensPerMilli) *
                        this->Slowness;
  this->StepEnd = Now + Duration(static_cast<std::int64_t>(Millis * 1000));
}

std::vector<StepResult> EngineModel::endStep() {
  std::vector<StepResult> Results;
  const Instant Now = *this->StepEnd;
  for (Run &Each : this->Running) {
    if (Each.ToRead > 0) {
      const auto Share = this->Reading.find(Each.Request.Id);
      if (Share == this->Reading.end())
        continue;
      Each.ToRead -= Share->second;
      this->ReadTokens += Share->second;
      if (Each.ToRead > 0)
        continue;
      this->keep(Each);
    }
    ++Each.Made;
    Results.push_back(
        {Each.Request.Id, Each.Made, Each.Made >= Each.Request.OutputTokens});
  }
  std::erase_if(this->Running, [](const Run &Each) {
    return Each.ToRead == 0 && Each.Made >= Each.Request.OutputTokens;
  });
  this->startStep(Now);
  return Results;
}

} // namespace turmericpass
