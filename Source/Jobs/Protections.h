#ifndef TURMERICPASS_JOBS_PROTECTIONS_H
#define TURMERICPASS_JOBS_PROTECTIONS_H

namespace turmericpass {

/// The rules that keep durable work correct when faults occur. All of them are
/// in force in production. Only tests can create a value with one rule
/// disabled, to show that the fault matrix then finds a violation.
class Protections {
public:
  Protections() = default;

  /// True if a chunk is committed only while its epoch is still that of the
  /// holder.
  bool checksEpoch() const { return this->EpochCheck; }
  /// True if a lost reply of the store is resolved by reading the row.
  bool readsBack() const { return this->ReadBack; }
  /// True if an intent row is inserted before work that must not be repeated.
  bool insertsIntentRow() const { return this->IntentRow; }
  /// True if a takeover increments the epoch instead of relying on the lapse
  /// alone.
  bool raisesEpoch() const { return this->RaiseEpoch; }

private:
  friend struct ProtectionsForTest;

  bool EpochCheck = true;
  bool ReadBack = true;
  bool IntentRow = true;
  bool RaiseEpoch = true;
};

} // namespace turmericpass

#endif
