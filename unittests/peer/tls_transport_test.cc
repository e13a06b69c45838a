/// \file
/// Guards against links between hosts without a valid certificate on each side.

#include <catch2/catch.hpp>

#include "../net/raw_connection.h"
#include "../net/test_certificates.h"
#include "teaselhill/peer/transport.h"

namespace teaselhill::peer {

namespace {

struct Node {
  Node(net::EventLoop& loop,
       const std::string& name,
       const net::TlsFiles& files)
      : tls(*net::TlsContext::Load(files, net::PeerCertificate::kRequired)),
        transport(CreateWebSocketTransport(
            loop,
            {{name, 7}, "127.0.0.1", 0, "secret", tls},
            [this](const HostIncarnation& from, std::string payload) {
              received.push_back(from.host + ":" + payload);
            })) {
    REQUIRE(transport->Start().ok());
  }

  PeerAddress Address(const std::string& name) const {
    return {name, "127.0.0.1", transport->port()};
  }

  std::vector<std::string> received;
  std::shared_ptr<net::TlsContext> tls;
  std::unique_ptr<Transport> transport;
};

}  // namespace

TEST_CASE("hosts with certificates of the same authority exchange messages") {
  net::EventLoop loop;
  net::TestAuthority authority;
  Node a(loop, "a", authority.Issue("a"));
  Node b(loop, "b", authority.Issue("b"));
  a.transport->SetPeers({b.Address("b")});
  a.transport->Send("b", "one");
  a.transport->Send("b", std::string(100000, 'x'));
  net::RunUntil(loop, [&] { return b.received.size() == 2; });
  CHECK(b.received[0] == "a:one");
  CHECK(b.received[1].size() == 100002);
}

// Guards against a link that is authenticated by the shared secret alone, and
// against sending the secret to a listener that is not authenticated.
TEST_CASE(
    "a certificate of another authority or for another address is rejected") {
  net::EventLoop loop;
  net::TestAuthority authority;
  net::TestAuthority other_authority;
  const net::TlsFiles trusted = authority.Issue("good");
  net::TlsFiles untrusted = other_authority.Issue("stranger");
  const bool untrusted_client = GENERATE(true, false);
  net::TlsFiles wrong_address = authority.Issue("b", 3, "127.0.0.9");
  untrusted.ca = trusted.ca;
  Node a(loop, "a", untrusted_client ? untrusted : trusted);
  Node b(loop, "b", untrusted_client ? trusted : wrong_address);
  a.transport->SetPeers({b.Address("b")});
  a.transport->Send("b", "one");
  net::RunUntil(loop,
                [&] { return a.transport->counters().messages_dropped == 1; });
  CHECK(b.received.empty());
}

TEST_CASE("a host without TLS cannot link to a host with TLS") {
  net::EventLoop loop;
  net::TestAuthority authority;
  Node b(loop, "b", authority.Issue("b"));
  const auto plain = CreateWebSocketTransport(
      loop, {{"a", 7}, "127.0.0.1", 0, "secret", nullptr},
      [](const HostIncarnation&, const std::string&) {});
  plain->SetPeers({b.Address("b")});
  plain->Send("b", "one");
  net::RunUntil(loop, [&] { return plain->counters().messages_dropped == 1; });
  CHECK(b.received.empty());
}

}  // namespace teaselhill::peer
