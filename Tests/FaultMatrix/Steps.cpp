#include "FaultMatrix/Steps.h"

#include "Core/EnumTable.h"

#include <map>

namespace turmericpass {

namespace {

constexpr auto StepNames = makeEnumTable<Step>({
    {Step::Upload, "upload"},
    {Step::Accept, "accept"},
    {Step::RenewLease, "renew lease"},
    {Step::Claim, "claim"},
    {Step::Run, "run"},
    {Step::StoreResults, "store results"},
    {Step::Commit, "commit"},
    {Step::Cancel, "cancel"},
    {Step::Expire, "expire"},
    {Step::Reopen, "reopen"},
    {Step::Finalize, "finalize"},
    {Step::CollectGarbage, "collect garbage"},
    {Step::IntentBegin, "intent begin"},
    {Step::IntentFinish, "intent finish"},
});

constexpr auto FaultNames = makeEnumTable<Fault>({
    {Fault::CrashBefore, "crash before"},
    {Fault::CrashAfter, "crash after"},
    {Fault::PauseBefore, "pause before"},
    {Fault::PauseAfter, "pause after"},
    {Fault::StoreDown, "store down"},
    {Fault::StoreSlow, "store slow"},
    {Fault::ReplyLost, "reply lost"},
    {Fault::LateEffect, "late effect"},
    {Fault::ClientResends, "client resends"},
    {Fault::OperatorsRace, "operators race"},
    {Fault::LateAnswer, "late answer"},
    {Fault::CrossedAnswer, "crossed answer"},
    {Fault::DuplicateAnswer, "duplicate answer"},
    {Fault::CutAnswer, "cut answer"},
});

using Faults = std::vector<Fault>;

/// What can happen to any call to a store.
const Faults AtStore = {Fault::CrashBefore, Fault::CrashAfter,
                        Fault::PauseBefore, Fault::PauseAfter,
                        Fault::StoreDown,   Fault::StoreSlow,
                        Fault::ReplyLost,   Fault::LateEffect};

Faults operator+(Faults Some, const Faults &More) {
  Some.insert(Some.end(), More.begin(), More.end());
  return Some;
}

bool contains(std::string_view Text, std::string_view Part) {
  return Text.find(Part) != std::string_view::npos;
}

Step jobStep(std::string_view Call) {
  if (contains(Call, "\"state\":\"cancelling\""))
    return Step::Cancel;
  if (!contains(Call, "\"state\":\"in_progress\""))
    return Step::Finalize;
  return contains(Call, "\"expiring\":true") ? Step::Expire : Step::Accept;
}

Step chunkStep(std::string_view Call) {
  if (contains(Call, "\"state\":\"claimed\""))
    return Step::Claim;
  return contains(Call, "\"state\":\"done\"") ? Step::Commit : Step::Reopen;
}

} // namespace

std::string_view toName(Step Value) { return StepNames.nameOf(Value); }
std::string_view toName(Fault Value) { return FaultNames.nameOf(Value); }

std::vector<Step> allSteps() {
  std::vector<Step> Steps;
  for (const auto &Entry : StepNames.entries())
    Steps.push_back(Entry.Value);
  return Steps;
}

std::vector<Fault> allFaults() {
  Faults All;
  for (const auto &Entry : FaultNames.entries())
    All.push_back(Entry.Value);
  return All;
}

std::vector<Fault> faultsOf(Step Value) {
  const Faults ByClients = {Fault::ClientResends, Fault::OperatorsRace};
  const Faults Contested = {Fault::OperatorsRace};
  static const std::map<Step, Faults> Declared = {
      {Step::Upload, AtStore + Faults{Fault::ClientResends}},
      {Step::Accept, AtStore + ByClients},
      {Step::RenewLease, AtStore},
      {Step::Claim, AtStore + Contested},
      {Step::Run,
       {Fault::CrashBefore, Fault::CrashAfter, Fault::PauseBefore,
        Fault::PauseAfter, Fault::StoreDown, Fault::StoreSlow,
        Fault::LateAnswer, Fault::CrossedAnswer, Fault::DuplicateAnswer,
        Fault::CutAnswer}},
      {Step::StoreResults, AtStore},
      {Step::Commit, AtStore + Contested},
      {Step::Cancel, AtStore + ByClients},
      {Step::Expire, AtStore + Contested},
      {Step::Reopen, AtStore + Contested},
      {Step::Finalize, AtStore + Contested},
      {Step::CollectGarbage, AtStore},
      {Step::IntentBegin, AtStore + ByClients},
      {Step::IntentFinish, AtStore + ByClients},
  };
  const auto Found = Declared.find(Value);
  return Found == Declared.end() ? Faults() : Found->second;
}

bool isWrite(std::string_view Call) {
  return Call.starts_with("transact ") || Call.starts_with("put ") ||
         Call.starts_with("remove ");
}

std::optional<Step> stepOf(std::string_view Call) {
  if (Call.starts_with("transact file/") || Call.starts_with("put file/"))
    return Step::Upload;
  if (Call.starts_with("transact lease/"))
    return Step::RenewLease;
  if (Call.starts_with("transact job/"))
    return jobStep(Call);
  if (Call.starts_with("transact chunk/"))
    return chunkStep(Call);
  if (Call.starts_with("put out/"))
    return Step::StoreResults;
  if (Call.starts_with("remove out/"))
    return Step::CollectGarbage;
  if (Call.starts_with("transact intent/"))
    return contains(Call, "\"state\":\"begun\"") ? Step::IntentBegin
                                                 : Step::IntentFinish;
  return std::nullopt;
}

} // namespace turmericpass
