#ifndef TURMERICPASS_ADMISSION_RESUBMISSIONBUDGET_H
#define TURMERICPASS_ADMISSION_RESUBMISSIONBUDGET_H

namespace turmericpass {

/// Bounds the resubmissions of a gateway after losses, so that trouble at the
/// dispatchers is not multiplied. Each request earns a share of one.
class ResubmissionBudget {
public:
  /// What may be spent at once: the loss of one dispatcher must not fail the
  /// requests of this gateway that it holds.
  static constexpr double Burst = 128;

  void setShare(double Value) { this->Share = Value; }

  void creditRequest() {
    this->Level =
        this->Level + this->Share > Burst ? Burst : this->Level + this->Share;
  }

  bool take() {
    if (this->Level < 1)
      return false;
    this->Level -= 1;
    return true;
  }

private:
  double Share = 0.02;
  double Level = Burst;
};

} // namespace turmericpass

#endif
