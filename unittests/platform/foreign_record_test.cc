/// \file
/// Guards against a record of another writer, or a message of another host,
/// that ends the process or takes sound records with it, because its text
/// cannot stand in JSON or in a header.

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "platform/decode.h"
#include "platform/fleet_records.h"
#include "platform/store_client.h"
#include "platform/store_source.h"
#include "simulated_store.h"
#include "teaselhill/gateway/peer_message.h"

namespace platform {

namespace {

namespace gateway = teaselhill::gateway;
using std::chrono::seconds;
using teaselhill::Error;

constexpr const char* kUpstreamTopic = "keyed.servers";

constexpr char kSoundEntry[] =
    R"({"service":"s","addr":"127.0.0.1:80","zone":"d1","version":"v1",)"
    R"("slots":8,"state":"ready","born":1})";

/// Ids that name no upstream.
const std::string kForeignIds[] = {
    "b\xfcro-1", std::string("i\0-1", 4), "i-1\r\nX-Tenant: other", "i-\x7f",
    "\xc0\xaf",  "\xed\xa0\x80",          std::string(255, '\xff'), "",
};

class RecordingHandler : public gateway::StateSource::Handler {
 public:
  void OnConfig(std::shared_ptr<const gateway::RouteTable>) override {}
  void OnListing(const gateway::UpstreamListing& listing) override {
    OnRecords(listing.records);
  }
  void OnRecords(const std::vector<gateway::UpstreamRecord>& records) override {
    for (const gateway::UpstreamRecord& record : records) {
      if (record.entry)
        entries.insert(record.id);
    }
  }
  void OnSourceAnswered() override {}
  void OnSourceUnreachable(const Error&) override {}
  void OnRecordUnreadable(const std::string&, const Error&) override {
    ++unreadable;
  }

  std::set<std::string> entries;
  int unreadable = 0;
};

}  // namespace

TEST_CASE("an entry under a foreign key is reported once, the others hold") {
  const std::string id =
      GENERATE(from_range(std::begin(kForeignIds), std::end(kForeignIds)));
  CAPTURE(id);
  teaselhill::ManualTimerService timers;
  const auto store = std::make_shared<SimulatedStore>(timers);
  store->Write(kUpstreamTopic, "i-before", kSoundEntry);
  store->Write(kUpstreamTopic, id, kSoundEntry);
  StoreSource source(timers, store,
                     StoreSource::Bounds{seconds(2), seconds(2)});
  RecordingHandler handler;
  source.Subscribe(handler);
  timers.Advance(seconds(4));
  store->Write(kUpstreamTopic, id, kSoundEntry);
  store->Write(kUpstreamTopic, "i-after", kSoundEntry);
  timers.Advance(seconds(4));
  CHECK(handler.entries == std::set<std::string>{"i-before", "i-after"});
  CHECK(handler.unreadable == 1);
}

TEST_CASE("a key that is no text does not spoil the page that lists it") {
  const std::string page = R"({"end":7,"items":[{"key":"b)"
                           "\xfc"
                           R"(ro","offset":1,"value":"e30="},)"
                           R"({"key":"i-1","offset":2,"value":"e30="}]})";
  const teaselhill::Result<ListPage> listed = DecodeListPage(page);
  REQUIRE(listed.ok());
  REQUIRE(listed->records.size() == 2);
  CHECK(listed->records[1].key == "i-1");
  CHECK(listed->records[1].value == "{}");
}

TEST_CASE("an entry whose text cannot stand in a header is unreadable") {
  const std::string field = GENERATE("service", "zone", "version");
  CAPTURE(field);
  nlohmann::json entry = nlohmann::json::parse(kSoundEntry);
  CHECK(DecodeEntry("i-1", entry.dump()).ok());
  entry[field] = "v1\r\nX-Tenant: other";
  CHECK_FALSE(DecodeEntry("i-1", entry.dump()).ok());
}

// The record of a crash names the upstream by an id that another process chose.
TEST_CASE("records of the fleet are written whatever text they hold") {
  const std::string id =
      GENERATE(from_range(std::begin(kForeignIds), std::end(kForeignIds)));
  CAPTURE(id);
  const teaselhill::WallTime now{std::chrono::milliseconds(1000)};
  gateway::CrashRecord crash;
  crash.upstream.id = id;
  CHECK_NOTHROW(EncodeCrash(crash, now));
  gateway::HostRecord host;
  host.domain = id;
  CHECK_NOTHROW(EncodeHost(host, now));
  gateway::VersionRecord version;
  version.version = {id, id};
  CHECK_NOTHROW(EncodeVersion(version));
}

TEST_CASE("a message of another host that names no upstream is refused") {
  const std::string id =
      GENERATE(from_range(std::begin(kForeignIds), std::end(kForeignIds)));
  CAPTURE(id);
  gateway::PeerMessage message;
  message.sender = "host";
  const auto decodes = [&message] {
    return gateway::DecodePeerMessage(gateway::EncodePeerMessage(message)).ok();
  };
  CHECK(decodes());
  SECTION("as unreachable") {
    message.observations.unreachable.push_back({id, 1});
  }
  SECTION("as refusing") {
    message.observations.refusals.push_back({id, 1});
  }
  SECTION("in a crash record") {
    message.records.emplace_back().upstream.id = id;
  }
  SECTION("as its sender") {
    message.sender = id + "\n";
  }
  CHECK_FALSE(decodes());
}

}  // namespace platform
