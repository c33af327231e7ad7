#include "Jobs/StoppingJobs.h"

#include "Jobs/JobRows.h"

namespace turmericpass {

namespace {

constexpr std::size_t PageRows = 1000;

} // namespace

void StoppingJobs::tick() {
  const Instant Now = this->Time.now();
  if (this->Busy || Now < this->Next)
    return;
  this->Busy = true;
  this->Next = Now + StoppingJobsReadPeriod;
  this->Reading.clear();
  this->readPage("", Now);
}

void StoppingJobs::readPage(const std::string &After, Instant Sent) {
  this->Rows.scan(std::string(StopPrefix), After, PageRows,
                  [this, Sent](const Result<std::vector<TableRow>> &Page) {
                    this->onPage(Page, Sent);
                  });
}

void StoppingJobs::onPage(const Result<std::vector<TableRow>> &Page,
                          Instant Sent) {
  if (!Page) {
    this->Busy = false;
    return;
  }
  for (const TableRow &Row : *Page)
    this->Reading.insert(Row.Key.substr(StopPrefix.size()));
  if (Page->size() == PageRows)
    return this->readPage(Page->back().Key, Sent);
  this->Busy = false;
  this->Known = true;
  this->AsOf = Sent;
  this->Jobs.swap(this->Reading);
}

bool StoppingJobs::fresh() const {
  return this->Known && this->Time.now() - this->AsOf <= StoppingJobsMaxAge;
}

} // namespace turmericpass
