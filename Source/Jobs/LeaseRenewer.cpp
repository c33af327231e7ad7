#include "Jobs/LeaseRenewer.h"

#include "Jobs/JobRows.h"
#include "Jobs/LeaseMonitor.h"

namespace turmericpass {

namespace {

constexpr Duration RetryPeriod = std::chrono::seconds(1);

} // namespace

LeaseRenewer::LeaseRenewer(Table &Rows, const Clock &Time, IdSource &Ids,
                           std::string Batcher)
    : Rows(Rows), Time(Time), Ids(Ids), Batcher(std::move(Batcher)) {}

void LeaseRenewer::tick() {
  const Instant Sent = this->Time.now();
  if (this->Busy || this->IsReleased || Sent < this->NextRenewal)
    return;
  this->Busy = true;
  this->NextRenewal = Sent + RetryPeriod;
  this->Rows.transact(
      {this->Ids.longId(), {}, {{leaseKey(this->Batcher), "{}"}}, {}},
      [this, Sent](const Result<void> &Reply) {
        this->Busy = false;
        if (!Reply)
          return;
        // The renewal is dated at the time of sending, because the row did not
        // change earlier.
        this->LastRenewal = Sent;
        ++this->RenewalCount;
        this->NextRenewal = Sent + LeaseRenewalPeriod;
      });
}

bool LeaseRenewer::isCurrent() const {
  return this->RenewalCount > 0 &&
         this->Time.now() - this->LastRenewal < LeaseRenewalPeriod * 2;
}

bool LeaseRenewer::mayHaveLapsed() const {
  return this->RenewalCount > 0 && this->Time.now() - this->LastRenewal >=
                                       LeaseTimeout - LeaseRenewalPeriod;
}

void LeaseRenewer::release() {
  if (this->IsReleased)
    return;
  this->IsReleased = true;
  this->Rows.transact({this->Ids.longId(), {}, {}, {leaseKey(this->Batcher)}},
                      [](const Result<void> &) {});
}

} // namespace turmericpass
