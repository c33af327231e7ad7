// Measures what 10,000 organisations with 40,000 keys cost a VM: the time to
// read the settings, to find the organisation of a key and to decide on a
// request, and the memory. Prints one line for each figure.

#include "Core/Hash.h"
#include "Node/RequestAdmission.h"
#include "platform/PlatformAdapter.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

using namespace turmericpass;

namespace {

constexpr std::size_t OrganisationCount = 10'000;
constexpr std::size_t KeysPerOrganisation = 4;
constexpr std::size_t Lookups = 400'000;

std::string keyOf(std::size_t Organisation, std::size_t Key) {
  return sha256Hex(std::to_string(Organisation) + "/" + std::to_string(Key))
      .substr(0, 32);
}

std::string makeDocument(std::size_t Organisations) {
  std::string Text = R"({"version":1,"services":[{"name":"s"}],"routes":[
    {"name":"r","host":"h","path_prefix":"/r/","kind":"idempotent",
     "service":"s"}],"tenants":[)";
  for (std::size_t I = 0; I < Organisations; ++I) {
    Text += std::string(I == 0 ? "" : ",") + R"({"name":"org)" +
            std::to_string(I) +
            R"(","priority":1,"rate_per_s":314,"burst":314,"api_keys":[)";
    for (std::size_t K = 0; K < KeysPerOrganisation; ++K)
      Text += std::string(K == 0 ? "\"" : ",\"") + keyOf(I, K) + "\"";
    Text += "]}";
  }
  return Text + "]}";
}

/// Returns the microseconds of processor-bound work in \p Work.
template <typename F> double microsOf(F Work) {
  const auto Begun = std::chrono::steady_clock::now();
  Work();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - Begun)
      .count();
}

double allocatedMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / 1e6;
}

/// Returns the mean microseconds of a decision on a request with each of
/// \p Headers in turn.
double decisionMicros(const RequestAdmission &Admission,
                      const std::vector<std::string> &Keys,
                      int ExpectedStatus) {
  std::vector<RawRequest> Requests;
  Requests.reserve(Keys.size());
  for (const std::string &Key : Keys)
    Requests.push_back({"POST",
                        "/r/x",
                        {{"Host", "h"},
                         {"Request-Id", "790675696b4b935d"},
                         {"Deadline-Ms", "4000"},
                         {"Authorization", "Bearer " + Key}},
                        ""});
  std::size_t Unexpected = 0;
  const double Micros = microsOf([&] {
    for (std::size_t I = 0; I < Lookups; ++I) {
      const auto Decision = Admission.decide(Requests[I % Requests.size()]);
      if ((Decision ? 200 : Decision.error().Status) != ExpectedStatus)
        ++Unexpected;
    }
  });
  if (Unexpected > 0)
    std::printf("unexpected decisions: %zu\n", Unexpected);
  return Micros / static_cast<double>(Lookups);
}

} // namespace

int main() {
  const PlatformAdapter Adapter;
  const std::string Document = makeDocument(OrganisationCount);
  std::printf("document_mb %.2f\n", static_cast<double>(Document.size()) / 1e6);
  const double Before = allocatedMegabytes();
  Result<ServingSettings> Settings =
      failure(ErrorCode::NotFound, "not read yet");
  const double ReadMicros =
      microsOf([&] { Settings = Adapter.readSettings(Document); });
  if (!Settings) {
    std::printf("%s\n", Settings.error().Message.c_str());
    return 1;
  }
  std::printf("read_settings_ms %.1f\n", ReadMicros / 1e3);
  const double WithSettings = allocatedMegabytes();
  std::printf("settings_mb %.2f\n", WithSettings - Before);
  OrganisationDirectory Organisations;
  const double ReplaceMicros =
      microsOf([&] { Organisations.replace(Settings->Organisations); });
  std::printf("replace_keys_ms %.1f\n", ReplaceMicros / 1e3);
  std::printf("directory_mb %.2f\n", allocatedMegabytes() - WithSettings);

  std::vector<std::string> Known;
  std::vector<std::string> Unknown;
  for (std::size_t I = 0; I < OrganisationCount; ++I)
    for (std::size_t K = 0; K < KeysPerOrganisation; ++K) {
      Known.push_back(keyOf(I, K));
      Unknown.push_back(keyOf(I, K + KeysPerOrganisation));
    }
  std::size_t Found = 0;
  const auto LookupMicros = [&](const std::vector<std::string> &Keys) {
    return microsOf([&] {
             for (std::size_t I = 0; I < Lookups; ++I)
               Found += Organisations.find(Keys[I % Keys.size()]) ? 1 : 0;
           }) /
           static_cast<double>(Lookups);
  };
  std::printf("lookup_known_us %.3f\n", LookupMicros(Known));
  std::printf("lookup_unknown_us %.3f\n", LookupMicros(Unknown));
  std::printf("found %zu of %zu\n", Found, Lookups);

  const OrganisationDirectory NoOrganisations;
  const auto AdmissionWith = [&](const OrganisationDirectory &Directory) {
    return RequestAdmission({Adapter.backendProtocol(), Adapter.jobCallCodec(),
                             Directory, [&] { return &*Settings; },
                             [] { return true; },
                             [](Duration) { return false; }});
  };
  std::printf("decide_without_organisations_us %.3f\n",
              decisionMicros(AdmissionWith(NoOrganisations), Known, 200));
  std::printf("decide_known_key_us %.3f\n",
              decisionMicros(AdmissionWith(Organisations), Known, 200));
  std::printf("decide_unknown_key_us %.3f\n",
              decisionMicros(AdmissionWith(Organisations), Unknown, 401));
  return 0;
}
