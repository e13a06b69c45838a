/// \file
/// Guards against lost or reordered messages between hosts, and against
/// messages from hosts with a wrong secret or from isolated hosts.

#include "teaselhill/peer/transport.h"

#include <catch2/catch.hpp>

namespace teaselhill::peer {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Node {
  Node(net::EventLoop& loop, const std::string& name, const std::string& secret)
      : transport(CreateWebSocketTransport(
            loop,
            {{name, 7}, "127.0.0.1", 0, secret},
            [this](const HostIncarnation& from, std::string payload) {
              received.push_back(from.host + ":" + payload);
            })) {
    REQUIRE(transport->Start().ok());
  }

  PeerAddress Address(const std::string& name) const {
    return {name, "127.0.0.1", transport->port()};
  }

  std::vector<std::string> received;
  std::unique_ptr<Transport> transport;
};

void RunUntil(net::EventLoop& loop, const std::function<bool()>& done) {
  const auto poll = loop.timers().Subscribe(milliseconds(1), [&](TimePoint) {
    if (done())
      loop.Stop();
  });
  const auto limit =
      loop.timers().After(seconds(5), [&](TimePoint) { loop.Stop(); });
  loop.Run();
  REQUIRE(done());
}

}  // namespace

TEST_CASE("messages reach the peer unchanged and in order") {
  net::EventLoop loop;
  Node a(loop, "a", "secret");
  Node b(loop, "b", "secret");
  a.transport->SetPeers({b.Address("b")});
  a.transport->Send("b", "one");
  a.transport->Send("b", std::string(100000, 'x'));
  a.transport->Send("b", "three");
  RunUntil(loop, [&] { return b.received.size() == 3; });
  CHECK(b.received[0] == "a:one");
  CHECK(b.received[1].size() == 100002);
  CHECK(b.received[2] == "a:three");
}

TEST_CASE("a host with a wrong secret is rejected") {
  net::EventLoop loop;
  Node a(loop, "a", "wrong");
  Node b(loop, "b", "secret");
  a.transport->SetPeers({b.Address("b")});
  a.transport->Send("b", "one");
  RunUntil(loop, [&] { return a.transport->counters().messages_dropped == 1; });
  CHECK(b.received.empty());
}

TEST_CASE("messages from an isolated host are not delivered") {
  net::EventLoop loop;
  Node a(loop, "a", "secret");
  Node b(loop, "b", "secret");
  a.transport->SetPeers({b.Address("b")});
  a.transport->Send("b", "one");
  RunUntil(loop, [&] { return b.received.size() == 1; });
  b.transport->SetBlocked({"a"});
  a.transport->Send("b", "two");
  RunUntil(loop, [&] { return b.transport->counters().messages_dropped == 1; });
  CHECK(b.received.size() == 1);
  b.transport->SetBlocked({});
  a.transport->Send("b", "three");
  RunUntil(loop, [&] { return b.received.size() == 2; });
  CHECK(b.received.back() == "a:three");
}

}  // namespace teaselhill::peer
