#include "Node/PeerDigest.h"
#include "Node/PeerView.h"
#include "Support/NodeBench.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Returns the fields of a document with one organisation that has \p Key.
std::string organisationWith(const std::string &Key) {
  return R"(, "tenants": [{"name": "acme", "api_keys": [")" + Key + "\"]}]";
}

struct KeyBench : public NodeBench {
  int LastRequest = 0;
  int Socket = socket(AF_INET, SOCK_DGRAM, 0);

  KeyBench() {
    // The other VM has an address of its own, and the same control port.
    sockaddr_in From{};
    From.sin_family = AF_INET;
    From.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 1);
    cr_assert_eq(bind(this->Socket, reinterpret_cast<const sockaddr *>(&From),
                      sizeof(From)),
                 0);
  }
  ~KeyBench() { close(this->Socket); }

  /// Sends a request with \p Key. Returns the status of the refusal, or 0 if a
  /// server gets the request.
  int statusWith(const std::string &Key) {
    RawPeer Caller;
    this->connect(Caller);
    Caller.write("POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r" +
                 std::to_string(++this->LastRequest) +
                 "\r\nTenant: forged\r\nAuthorization: Bearer " + Key +
                 "\r\nContent-Length: 0\r\n\r\n");
    const std::size_t Before = this->callerSends().size();
    const auto IsDecided = [&] {
      Caller.read();
      return this->callerSends().size() > Before ||
             Caller.Received.find("\r\n\r\n") != std::string::npos;
    };
    cr_assert(runUntil(this->Loop, IsDecided));
    return this->callerSends().size() > Before
               ? 0
               : std::stoi(Caller.Received.substr(9));
  }
  const HttpHeaders &sentHeaders() const {
    return this->Channels.All[this->callerSends().back() - 1]
        .Order.Request.Headers;
  }
  /// Sends a digest of another VM with the settings \p Version to the node.
  void sendDigest(std::uint64_t Version) {
    PeerDigest Digest;
    Digest.Incarnation = "other";
    Digest.Zone = "z";
    Digest.Sequence = ++this->DigestSequence;
    Digest.SettingsVersion = Version;
    const std::string Bytes = encodeDigest(Digest);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(this->Config.PeerPort);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)sendto(this->Socket, Bytes.data(), Bytes.size(), 0,
                 reinterpret_cast<const sockaddr *>(&To), sizeof(To));
  }
  /// Lets another VM announce settings of \p Version, which the store does not
  /// deliver, and give a document with \p More as the node requests it. Returns
  /// the time until the request.
  Duration offerSettings(int Version, const std::string &More) {
    const Instant Start = this->Time.now();
    const std::size_t Before = this->sendsTo("/settings").size();
    cr_assert(runUntil(this->Loop, [&] {
      this->sendDigest(static_cast<std::uint64_t>(Version));
      return this->sendsTo("/settings").size() > Before;
    }));
    const SendId Send = this->sendsTo("/settings").back();
    const std::string &Address = this->Channels.All[Send - 1].Order.Address;
    cr_assert(Address.starts_with("127.0.0.2:"));
    StoreView View;
    View.Settings = NodeBench::makeDocument(Version, More);
    this->Channels.head(Send, 200);
    this->Channels.body(Send, encodeView(View));
    this->Channels.done(Send);
    return this->Time.now() - Start;
  }
  std::uint64_t DigestSequence = 0;
};

} // namespace

// Guards against keys that are checked against other settings than those in
// force, and against a key or a forged organisation that reaches a server.
Test(NodeKeys, KeysOfTheSettingsInForceAreAccepted) {
  KeyBench Bench;
  cr_assert_eq(Bench.statusWith("any"), 0);
  cr_assert_eq(rawHeader(Bench.sentHeaders(), "Tenant"), "forged");
  cr_assert_eq(rawHeader(Bench.sentHeaders(), "Authorization"), "Bearer any");
  Bench.offerSettings(8, organisationWith("k1"));
  cr_assert_eq(Bench.statusWith("k1"), 0);
  cr_assert_eq(rawHeader(Bench.sentHeaders(), "Tenant"), "acme");
  cr_assert_eq(rawHeader(Bench.sentHeaders(), "Authorization"), "");
  cr_assert_eq(Bench.statusWith("k2"), 401);
  // A document that cannot be read changes nothing.
  Bench.offerSettings(9, organisationWith(""));
  cr_assert_eq(Bench.statusWith("k1"), 0);
  Bench.offerSettings(10, organisationWith("k2"));
  cr_assert_eq(Bench.statusWith("k1"), 401);
  cr_assert_eq(Bench.statusWith("k2"), 0);
}

// Guards against a removed key that stays valid on a VM that the store does not
// reach although another VM has the newer settings.
Test(NodeKeys, NewerSettingsComeFromAnotherVmInTime) {
  KeyBench Bench;
  for (const int Version : {8, 9}) {
    const Duration Passed =
        Bench.offerSettings(Version, organisationWith(std::to_string(Version)));
    cr_assert_geq(Passed, SettingsLag::FeedTime);
    // The busy machine of a test takes some time of its own.
    cr_assert_leq(Passed, Duration(2s));
  }
  cr_assert_eq(Bench.statusWith("8"), 401);
  cr_assert_eq(Bench.statusWith("9"), 0);
}
