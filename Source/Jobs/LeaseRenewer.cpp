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
  if (this->Busy || this->Ended || Sent < this->Next)
    return;
  this->Busy = true;
  this->Next = Sent + RetryPeriod;
  this->Rows.transact(
      {this->Ids.longId(), {}, {{leaseKey(this->Batcher), "{}"}}, {}},
      [this, Sent](const Result<void> &Reply) {
        this->Busy = false;
        if (!Reply)
          return;
        // The renewal is dated at the time of sending, because the row did not
        // change earlier.
        this->Renewed = Sent;
        ++this->Renewals;
        this->Next = Sent + LeaseRenewalPeriod;
      });
}

bool LeaseRenewer::current() const {
  return this->Renewals > 0 &&
         this->Time.now() - this->Renewed < LeaseRenewalPeriod * 2;
}

bool LeaseRenewer::mayHaveLapsed() const {
  return this->Renewals > 0 &&
         this->Time.now() - this->Renewed >= LeaseTimeout - LeaseRenewalPeriod;
}

void LeaseRenewer::giveUp() {
  if (this->Ended)
    return;
  this->Ended = true;
  this->Rows.transact({this->Ids.longId(), {}, {}, {leaseKey(this->Batcher)}},
                      [](const Result<void> &) {});
}

} // namespace turmericpass
