#include "CapacityReport.h"
#include "Http/HttpClient.h"
#include "Platform/HttpVmList.h"
#include "Probes.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

/// Answers every call at once with one body.
class FixedHttpClient : public HttpClient {
public:
  explicit FixedHttpClient(std::string Body) : Body(std::move(Body)) {}

  HttpCallId call(const std::string &, HttpRequest, Duration,
                  HttpCallHandlers Handlers) override {
    Handlers.Done({200, {}, this->Body});
    return 1;
  }
  void cancel(HttpCallId) override {}

private:
  std::string Body;
};

std::string listing(std::size_t Count) {
  nlohmann::json Vms = nlohmann::json::array();
  for (std::size_t I = 0; I < Count; ++I)
    Vms.push_back({{"name", "engine" + std::to_string(I)}, {"state", "live"}});
  return nlohmann::json({{"age_ms", 200}, {"vms", std::move(Vms)}}).dump();
}

} // namespace

/// A controller reads the whole list each time it polls.
void probeVms(CapacityReport &Out) {
  constexpr int Times = 5;
  for (const std::size_t Count : {410, 3000, 6000, 12410}) {
    const auto Size = static_cast<double>(Count);
    const std::string Body = listing(Count);
    FixedHttpClient Client(Body);
    HttpVmList List(Client, "127.0.0.1:1");
    std::size_t Read = 0;
    const double Begun = cpuMicros();
    for (int I = 0; I < Times; ++I)
      List.list([&](const Result<VmListing> &Got) {
        Read = Got ? Got->Vms.size() : 0;
      });
    Out.add("vms.read_cpu_us", "vms", Size, (cpuMicros() - Begun) / Times);
    Out.add("vms.bytes", "vms", Size, static_cast<double>(Body.size()));
    Out.add("vms.entries_read", "vms", Size, static_cast<double>(Read));
  }
}

} // namespace turmericpass
