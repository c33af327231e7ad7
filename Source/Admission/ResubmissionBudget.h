#ifndef TURMERICPASS_ADMISSION_RESUBMISSIONBUDGET_H
#define TURMERICPASS_ADMISSION_RESUBMISSIONBUDGET_H

namespace turmericpass {

/// Limits the resubmissions of a gateway after losses, so that they do not
/// multiply the load while dispatchers fail. Each request adds a fraction of a
/// resubmission to the budget.
class ResubmissionBudget {
public:
  /// The maximum budget. It covers the loss of one dispatcher, which must not
  /// fail the requests of this gateway that the dispatcher holds.
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
