#include "Daemon/ExplainPage.h"

#include "Daemon/DaemonContext.h"
#include "Http/PercentEncoding.h"

namespace turmericpass {

namespace {

/// Bounds of the records kept for `turmericpass explain`.
constexpr std::size_t MaxRecords = 20000;
constexpr std::size_t MaxRecordBytes = std::size_t{4} << 20U;

} // namespace

ExplainPage::ExplainPage(DaemonContext &Context)
    : Records(Context.Time, MaxRecords, MaxRecordBytes) {
  Context.onAdmin("/explain", [this](const HttpRequest &Request) {
    const std::string Subject = findQueryValue(Request.Query, "id");
    return HttpReply{200,
                     {{"Content-Type", "application/json"}},
                     toJson(this->Records.about(Subject))};
  });
}

} // namespace turmericpass
