#ifndef TURMERICPASS_JOBS_PROTECTIONS_H
#define TURMERICPASS_JOBS_PROTECTIONS_H

namespace turmericpass {

/// The rules that keep durable work correct under faults. All of them are in
/// force; only tests can build a value with one turned off, to prove that the
/// fault matrix then finds a violation.
class Protections {
public:
  Protections() = default;

  /// Commits a chunk only where its epoch is still the holder's.
  bool epochCheck() const { return this->EpochCheck; }
  /// Resolves a lost store reply by reading the row back.
  bool readBack() const { return this->ReadBack; }
  /// Inserts an intent row before work that must not be repeated.
  bool intentRow() const { return this->IntentRow; }
  /// Raises the epoch at a takeover instead of trusting the lapse alone.
  bool raiseEpoch() const { return this->RaiseEpoch; }

private:
  friend struct ProtectionsForTest;

  bool EpochCheck = true;
  bool ReadBack = true;
  bool IntentRow = true;
  bool RaiseEpoch = true;
};

} // namespace turmericpass

#endif
