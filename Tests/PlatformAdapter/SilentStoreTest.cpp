#include "RawHttp/TcpBackendChannels.h"
#include "Rows/RowFeed.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"
#include "platform/PlatformRowStore.h"

#include <criterion/criterion.h>
#include <memory>
#include <vector>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// A store that lists one row until it is removed and never reports a change.
/// Its open connections can go silent, while new ones work.
class SilentStore {
  RawPeer Listener;

public:
  std::uint16_t Port = this->Listener.listen();
  bool HasRow = true;

  /// No more answers come on the connections that are open now.
  void silence() { this->FirstAnswering = this->Connections.size(); }

  void answerCalls() {
    for (int Descriptor = this->Listener.accept(); Descriptor >= 0;
         Descriptor = this->Listener.accept())
      this->Connections.push_back(std::make_unique<RawPeer>(Descriptor));
    for (std::size_t I = this->FirstAnswering; I < this->Connections.size();
         ++I) {
      RawPeer &Connection = *this->Connections[I];
      Connection.read();
      const bool IsRead = Connection.Received.starts_with("GET /rows-get");
      if (!Connection.Received.ends_with("\r\n\r\n") || !IsRead)
        continue;
      Connection.Received.clear();
      const std::string Body =
          this->HasRow ? R"({"rows":[{"table":"t","part":"p","key":"s1",
                  "row_version":1,"value":""}],"row_version":1})"
                       : R"({"rows":[],"row_version":2})";
      Connection.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body);
    }
  }

private:
  std::vector<std::unique_ptr<RawPeer>> Connections;
  std::size_t FirstAnswering = 0;
};

} // namespace

// Guards against a removed row that stays in use because all open connections
// to the store went silent: the calls after the first time-out must not wait on
// the other silent connections, and the store was not away.
Test(PlatformRowStore, SilentConnectionsDelayAListingByOneCall) {
  BootClock Time;
  EventLoop Loop(Time);
  SilentStore Server;
  TcpBackendChannels Channels(Loop);
  PlatformRowStore Store(Loop, Channels,
                         "127.0.0.1:" + std::to_string(Server.Port), 65536);
  NullLogger Log;
  std::vector<RowListing> Listings;
  RowFeed Feed(Loop, Store, Log, "t", "p", Duration(0),
               {[&](const RowListing &Listing) { Listings.push_back(Listing); },
                [](const std::vector<StoredRow> &) {}});
  // Calls at the same time leave several idle connections behind.
  int Read = 0;
  for (int I = 0; I < 3; ++I)
    Store.read({"t", "p", "", "", 500}, [&](const Result<RowPage> &Page) {
      cr_assert(Page);
      ++Read;
    });
  const auto WaitFor = [&](const std::function<bool()> &Holds) {
    return runUntil(Loop, [&] {
      Server.answerCalls();
      return Holds();
    });
  };
  cr_assert(WaitFor([&] { return Read == 3; }));
  Feed.start();
  cr_assert(WaitFor([&] { return Listings.size() == 1; }));
  cr_assert_eq(Listings[0].Rows.size(), 1);
  // Let the call for changes reach the store.
  runFor(Loop, 20ms);
  Server.answerCalls();
  Server.silence();
  Server.HasRow = false;
  const Instant Silenced = Time.now();
  cr_assert(WaitFor([&] { return Listings.size() == 2; }));
  cr_assert(Listings[1].Rows.empty());
  cr_assert_not(Listings[1].AfterOutage);
  // Servers drain for 2 s.
  cr_assert_lt(Time.now() - Silenced, Duration(2s));
}
