/// \file
/// CBOR codec of the messages between hosts, based on nlohmann-json.

#include "teaselhill/peer/messages.h"

#include <nlohmann/json.hpp>

namespace teaselhill::peer {

namespace {

using nlohmann::json;

// Pack() converts a value to JSON, and Unpack() converts JSON back to a value.
// Fields are encoded in the order of the Pack() arrays. Unpack() throws
// json::exception if a field is missing or has another type; Decode() converts
// the exception to an error.

json Pack(const HostIncarnation& id) {
  return json::array({id.host, id.incarnation});
}

void Unpack(const json& in, HostIncarnation* id) {
  id->host = in.at(0).get<std::string>();
  id->incarnation = in.at(1).get<uint64_t>();
}

json Pack(const Hash128& hash) {
  return json::array({hash.high, hash.low});
}

void Unpack(const json& in, Hash128* hash) {
  hash->high = in.at(0).get<uint64_t>();
  hash->low = in.at(1).get<uint64_t>();
}

json Pack(const std::string& text) {
  return text;
}

void Unpack(const json& in, std::string* text) {
  *text = in.get<std::string>();
}

int64_t PackMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Duration UnpackMilliseconds(const json& in) {
  return std::chrono::milliseconds(in.get<int64_t>());
}

json Pack(const membership::MemberUpdate& update) {
  return json::array({Pack(update.id), update.refutation,
                      static_cast<int>(update.state), update.address,
                      update.domain});
}

void Unpack(const json& in, membership::MemberUpdate* update) {
  Unpack(in.at(0), &update->id);
  update->refutation = in.at(1).get<uint64_t>();
  const int state = in.at(2).get<int>();
  if (state < 0 || state > static_cast<int>(membership::MemberState::kDead))
    throw json::out_of_range::create(401, "member state", &in);
  update->state = static_cast<membership::MemberState>(state);
  update->address = in.at(3).get<std::string>();
  update->domain = in.at(4).get<std::string>();
}

json Pack(const membership::UpstreamReport& report) {
  return json::array({report.upstream, report.domain, report.sequence});
}

void Unpack(const json& in, membership::UpstreamReport* report) {
  report->upstream = in.at(0).get<std::string>();
  report->domain = in.at(1).get<std::string>();
  report->sequence = in.at(2).get<uint64_t>();
}

json Pack(const quota::ContractDemand& demand) {
  return json::array({demand.contract, demand.requests_per_second,
                      demand.tokens_per_second, demand.concurrency});
}

void Unpack(const json& in, quota::ContractDemand* demand) {
  demand->contract = in.at(0).get<uint64_t>();
  demand->requests_per_second = in.at(1).get<float>();
  demand->tokens_per_second = in.at(2).get<float>();
  demand->concurrency = in.at(3).get<float>();
}

json Pack(const quota::ShareRange& range) {
  return json::array({range.begin, range.end});
}

void Unpack(const json& in, quota::ShareRange* range) {
  range->begin = in.at(0).get<float>();
  range->end = in.at(1).get<float>();
}

json Pack(const quota::ContractShare& share) {
  return json::array({share.contract, Pack(share.requests), Pack(share.tokens),
                      Pack(share.concurrency)});
}

void Unpack(const json& in, quota::ContractShare* share) {
  share->contract = in.at(0).get<uint64_t>();
  Unpack(in.at(1), &share->requests);
  Unpack(in.at(2), &share->tokens);
  Unpack(in.at(3), &share->concurrency);
}

constexpr Duration kBetweenTokensUnit = std::chrono::microseconds(100);
constexpr Duration kReportAgeUnit = std::chrono::milliseconds(100);

json Pack(const routing::UpstreamSendsEntry& entry) {
  json out =
      json::array({entry.upstream, entry.sent, entry.ended, entry.in_flight,
                   entry.time_per_token / kBetweenTokensUnit,
                   entry.non_resumable, entry.suspects});
  // The last fields of most entries are zero. Trailing zero fields are omitted
  // to save bytes.
  while (out.size() > 1 && out.back() == 0)
    out.erase(out.size() - 1);
  return out;
}

void Unpack(const json& in, routing::UpstreamSendsEntry* entry) {
  const auto field = [&in](size_t index) {
    return index < in.size() ? in[index].get<uint32_t>() : 0;
  };
  entry->upstream = in.at(0).get<uint32_t>();
  entry->sent = field(1);
  entry->ended = field(2);
  entry->in_flight = field(3);
  entry->time_per_token = kBetweenTokensUnit * field(4);
  entry->non_resumable = field(5);
  entry->suspects = field(6);
}

json Pack(const routing::EngineReportEntry& entry) {
  return json::array({entry.upstream, entry.load, entry.max_batch,
                      entry.tokens_per_second, entry.age / kReportAgeUnit});
}

void Unpack(const json& in, routing::EngineReportEntry* entry) {
  entry->upstream = in.at(0).get<uint32_t>();
  entry->load = in.at(1).get<uint32_t>();
  entry->max_batch = in.at(2).get<uint32_t>();
  entry->tokens_per_second = in.at(3).get<uint32_t>();
  entry->age = kReportAgeUnit * in.at(4).get<uint32_t>();
}

// PackList() and UnpackList() find only those overloads of Pack() and Unpack()
// that are declared before them.
json Pack(const retry::CrashReport& report);
void Unpack(const json& in, retry::CrashReport* report);
json Pack(const retry::ClearedSuspect& cleared_suspect);
void Unpack(const json& in, retry::ClearedSuspect* cleared_suspect);
json Pack(const retry::SuspectRun& run);
void Unpack(const json& in, retry::SuspectRun* run);

template <typename T>
json PackList(const std::vector<T>& list) {
  json out = json::array();
  for (const T& item : list)
    out.push_back(Pack(item));
  return out;
}

template <typename T>
void UnpackList(const json& in, std::vector<T>* list) {
  for (const json& item : in) {
    list->emplace_back();
    Unpack(item, &list->back());
  }
}

json Pack(const membership::Gossip& gossip) {
  return json::array(
      {PackList(gossip.members), PackList(gossip.upstream_reports)});
}

void Unpack(const json& in, membership::Gossip* gossip) {
  UnpackList(in.at(0), &gossip->members);
  UnpackList(in.at(1), &gossip->upstream_reports);
}

json Pack(const retry::CrashReport& report) {
  return json::array({Pack(report.observer), report.number, report.upstream,
                      PackMilliseconds(report.age), PackList(report.suspects)});
}

void Unpack(const json& in, retry::CrashReport* report) {
  Unpack(in.at(0), &report->observer);
  report->number = in.at(1).get<uint64_t>();
  report->upstream = in.at(2).get<std::string>();
  report->age = UnpackMilliseconds(in.at(3));
  UnpackList(in.at(4), &report->suspects);
}

json Pack(const retry::SuspectRun& run) {
  return json::array({Pack(run.fingerprint), run.running});
}

void Unpack(const json& in, retry::SuspectRun* run) {
  Unpack(in.at(0), &run->fingerprint);
  run->running = in.at(1).get<bool>();
}

json Pack(const retry::ClearedSuspect& cleared_suspect) {
  return json::array({Pack(cleared_suspect.fingerprint),
                      PackMilliseconds(cleared_suspect.age)});
}

void Unpack(const json& in, retry::ClearedSuspect* cleared_suspect) {
  Unpack(in.at(0), &cleared_suspect->fingerprint);
  cleared_suspect->age = UnpackMilliseconds(in.at(1));
}

json Pack(const membership::Ping& ping) {
  return json::array({Pack(ping.from), ping.sequence, Pack(ping.gossip)});
}

void Unpack(const json& in, membership::Ping* ping) {
  Unpack(in.at(0), &ping->from);
  ping->sequence = in.at(1).get<uint64_t>();
  Unpack(in.at(2), &ping->gossip);
}

json Pack(const membership::Ack& ack) {
  return json::array({Pack(ack.from), ack.sequence, Pack(ack.gossip)});
}

void Unpack(const json& in, membership::Ack* ack) {
  Unpack(in.at(0), &ack->from);
  ack->sequence = in.at(1).get<uint64_t>();
  Unpack(in.at(2), &ack->gossip);
}

json Pack(const membership::IndirectPing& ping) {
  return json::array(
      {Pack(ping.from), ping.sequence, ping.target, Pack(ping.gossip)});
}

void Unpack(const json& in, membership::IndirectPing* ping) {
  Unpack(in.at(0), &ping->from);
  ping->sequence = in.at(1).get<uint64_t>();
  ping->target = in.at(2).get<std::string>();
  Unpack(in.at(3), &ping->gossip);
}

json Pack(const quota::StreamHeader& header) {
  return json::array({header.host, header.incarnation, header.sequence,
                      header.shard, header.is_full, header.resync});
}

void Unpack(const json& in, quota::StreamHeader* header) {
  header->host = in.at(0).get<std::string>();
  header->incarnation = in.at(1).get<uint64_t>();
  header->sequence = in.at(2).get<uint64_t>();
  header->shard = in.at(3).get<uint32_t>();
  header->is_full = in.at(4).get<bool>();
  header->resync = in.at(5).get<bool>();
}

json Pack(const quota::HostDemand& demand) {
  return json::array({Pack(demand.header), PackList(demand.demands)});
}

void Unpack(const json& in, quota::HostDemand* demand) {
  Unpack(in.at(0), &demand->header);
  UnpackList(in.at(1), &demand->demands);
}

json Pack(const quota::DomainDemand& demand) {
  return json::array(
      {Pack(demand.header), demand.domain, PackList(demand.demands)});
}

void Unpack(const json& in, quota::DomainDemand* demand) {
  Unpack(in.at(0), &demand->header);
  demand->domain = in.at(1).get<std::string>();
  UnpackList(in.at(2), &demand->demands);
}

json Pack(const quota::ShareGrant& grant) {
  return json::array({Pack(grant.header), PackList(grant.shares)});
}

void Unpack(const json& in, quota::ShareGrant* grant) {
  Unpack(in.at(0), &grant->header);
  UnpackList(in.at(1), &grant->shares);
}

json Pack(const routing::UpstreamSends& sends) {
  return json::array({sends.sequence, PackList(sends.entries)});
}

void Unpack(const json& in, routing::UpstreamSends* sends) {
  sends->sequence = in.at(0).get<uint64_t>();
  UnpackList(in.at(1), &sends->entries);
}

json Pack(const routing::EngineReports& reports) {
  return PackList(reports.entries);
}

void Unpack(const json& in, routing::EngineReports* reports) {
  UnpackList(in, &reports->entries);
}

json Pack(const routing::UpstreamLeaving& leaving) {
  return json::array(
      {Pack(leaving.sender), leaving.sequence, PackList(leaving.upstreams)});
}

void Unpack(const json& in, routing::UpstreamLeaving* leaving) {
  Unpack(in.at(0), &leaving->sender);
  leaving->sequence = in.at(1).get<uint64_t>();
  UnpackList(in.at(2), &leaving->upstreams);
}

json Pack(const retry::CrashSuspicion& suspicion) {
  return json::array(
      {Pack(suspicion.sender), suspicion.sequence, PackList(suspicion.crashes),
       PackList(suspicion.cleared_suspects), PackList(suspicion.runs)});
}

void Unpack(const json& in, retry::CrashSuspicion* suspicion) {
  Unpack(in.at(0), &suspicion->sender);
  suspicion->sequence = in.at(1).get<uint64_t>();
  UnpackList(in.at(2), &suspicion->crashes);
  UnpackList(in.at(3), &suspicion->cleared_suspects);
  UnpackList(in.at(4), &suspicion->runs);
}

json Pack(const ConfigHint& hint) {
  return json::array({hint.next_offset, hint.log_unreachable});
}

void Unpack(const json& in, ConfigHint* hint) {
  hint->next_offset = in.at(0).get<LogOffset>();
  // Hosts of earlier versions send the offset only.
  hint->log_unreachable = in.size() > 1 && in.at(1).get<bool>();
}

json Pack(const ConfigFetch& fetch) {
  return json::array({fetch.next_offset});
}

void Unpack(const json& in, ConfigFetch* fetch) {
  fetch->next_offset = in.at(0).get<LogOffset>();
}

json Pack(const ConfigTransfer& transfer) {
  return json::array({transfer.state});
}

void Unpack(const json& in, ConfigTransfer* transfer) {
  transfer->state = in.at(0).get<std::string>();
}

json Pack(const CrashFetch&) {
  return json::array();
}

void Unpack(const json&, CrashFetch*) {}

template <size_t Index = 0>
Message DecodeAlternative(size_t type, const json& fields) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (type != Index)
      return DecodeAlternative<Index + 1>(type, fields);
    std::variant_alternative_t<Index, Message> value;
    Unpack(fields, &value);
    return value;
  } else {
    throw json::out_of_range::create(401, "message type", &fields);
  }
}

}  // namespace

std::string Encode(const Message& message) {
  const json packed = json::array(
      {message.index(),
       std::visit([](const auto& value) { return Pack(value); }, message)});
  std::string payload;
  json::to_cbor(packed, payload);
  return payload;
}

std::string_view MessageTypeName(size_t index) {
  static constexpr std::string_view kNames[] = {"ping",
                                                "ack",
                                                "indirect_ping",
                                                "host_demand",
                                                "domain_demand",
                                                "share_grant",
                                                "upstream_sends",
                                                "upstream_leaving",
                                                "crash_suspicion",
                                                "config_hint",
                                                "config_fetch",
                                                "config_transfer",
                                                "crash_fetch",
                                                "engine_reports"};
  static_assert(std::size(kNames) == std::variant_size_v<Message>);
  return index < std::size(kNames) ? kNames[index] : "unknown";
}

size_t EncodedTypeIndex(const std::string& payload) {
  // The first byte is the header of an array of two elements. The second byte
  // is the type's index, which CBOR encodes in one byte if it is below 24.
  static_assert(std::variant_size_v<Message> <= 24);
  return payload.size() < 2 ? std::variant_size_v<Message>
                            : static_cast<unsigned char>(payload[1]);
}

Result<Message> Decode(const std::string& payload) {
  // nlohmann-json reports missing fields and wrong types only by exceptions.
  try {
    const json packed = json::from_cbor(payload);
    return DecodeAlternative(packed.at(0).get<size_t>(), packed.at(1));
  } catch (const json::exception& failure) {
    return {ResultCode::kProtocolError,
            std::string("malformed peer message: ") + failure.what()};
  }
}

}  // namespace teaselhill::peer
