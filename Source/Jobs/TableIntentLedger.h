#ifndef TURMERICPASS_JOBS_TABLEINTENTLEDGER_H
#define TURMERICPASS_JOBS_TABLEINTENTLEDGER_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Jobs/IntentLedger.h"
#include "Jobs/TableWriter.h"

#include <map>
#include <memory>

namespace turmericpass {

struct IntentRow;

/// Stores intent rows in the platform's table, one for each customer and
/// idempotency key. This class never deletes a row. A released row remains
/// because a delayed insert of the same attempt could otherwise still take
/// effect.
class TableIntentLedger : public IntentLedger {
public:
  /// The default limit of the outcomes that wait for the table, in bytes.
  static constexpr std::size_t DefaultMaxPendingOutcomeBytes = std::size_t{64}
                                                               << 20U;

  TableIntentLedger(
      Table &Rows, const Clock &Time, IdSource &Ids, Protections Rules = {},
      std::size_t MaxPendingOutcomeBytes = DefaultMaxPendingOutcomeBytes);
  ~TableIntentLedger() override;

  void begin(const IntentKey &Key, const std::string &AttemptId,
             const std::string &RequestHash, BeginDone Done) override;

  /// Errors: Unavailable if the outcomes that wait for the table exceed their
  /// limit, Conflict if the attempt does not hold the row.
  void finish(const IntentKey &Key, const std::string &AttemptId,
              IntentOutcome Outcome, FinishDone Done) override;

  /// Retries the writes that the table did not accept. Call this every 100 ms.
  void tick();

  /// Returns the number of outcomes that wait for the table.
  std::size_t pendingOutcomes() const { return this->PendingOutcomes.size(); }

private:
  struct BeginCall;
  struct FinishCall;

  void onInserted(const std::shared_ptr<BeginCall> &Call, Result<void> Reply);
  void replaceRow(const std::shared_ptr<BeginCall> &Call,
                  std::uint64_t Version);
  void readRow(const std::shared_ptr<BeginCall> &Call);
  void decide(const std::shared_ptr<BeginCall> &Call, const TableRow &Row);
  void releaseUnconfirmedRow(const std::shared_ptr<BeginCall> &Call);
  void addPendingOutcome(const std::shared_ptr<FinishCall> &Call);
  void storeOutcome(const std::shared_ptr<FinishCall> &Call);
  void storeOutcomeInRow(const std::shared_ptr<FinishCall> &Call,
                         const TableRow &Row);
  void replaceRowWithOutcome(const std::shared_ptr<FinishCall> &Call,
                             IntentRow Row, std::uint64_t Version);
  void endCall(const std::shared_ptr<FinishCall> &Call, Result<void> Reply);
  void scheduleRetry(const std::shared_ptr<FinishCall> &Call);

  Table &Rows;
  const Clock &Time;
  IdSource &Ids;
  TableWriter Writer;
  Protections Rules;
  std::size_t MaxPendingOutcomeBytes;
  std::size_t PendingOutcomeBytes = 0;
  std::uint64_t NextCallId = 1;
  std::map<std::uint64_t, std::shared_ptr<FinishCall>> PendingOutcomes;
};

} // namespace turmericpass

#endif
