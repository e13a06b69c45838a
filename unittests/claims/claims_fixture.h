/// \file
/// Several claim tables that share one in-memory log.

#ifndef TEASELHILL_UNITTESTS_CLAIMS_CLAIMS_FIXTURE_H_
#define TEASELHILL_UNITTESTS_CLAIMS_CLAIMS_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "teaselhill/claims/claim_table.h"

namespace teaselhill::claims {

constexpr uint64_t kBody = 42;
const WallTime kStart{std::chrono::hours(24 * 365 * 50)};

template <typename T>
bool Is(const ClaimDecision& decision) {
  return std::holds_alternative<T>(decision);
}

inline ResultCode CodeOf(const ClaimDecision& decision) {
  const auto* refuse = std::get_if<RefuseRequest>(&decision);
  return refuse ? refuse->code : ResultCode::kOk;
}

inline Answer AnswerOf(std::string body) {
  Answer answer;
  answer.body = std::move(body);
  return answer;
}

class Fleet {
 public:
  explicit Fleet(size_t hosts, ClaimOptions options = {}) {
    for (size_t i = 0; i < hosts; ++i) {
      tables_.push_back(std::make_unique<ClaimTable>(id(i), options));
      tables_[i]->OnReadStart(kFirstOffset, kFirstOffset);
    }
    for (size_t i = 0; i < hosts; ++i)
      Append(i);  // the empty batch that each table appends at its start
    for (size_t i = 0; i < hosts; ++i)
      Sync(i);
  }

  HostIncarnation id(size_t host) const {
    return {"host" + std::to_string(host), 1};
  }
  ClaimTable& table(size_t host) { return *tables_[host]; }
  LogOffset end() const { return log_.size(); }
  const ClaimRecord& record(LogOffset offset) const { return log_[offset]; }

  ClaimDecision SendUuid(size_t host,
                         RequestId request,
                         UuidKey key,
                         uint64_t body_hash) {
    return table(host).OnRequest(request, key, body_hash, false, now);
  }
  ClaimDecision SendKey(size_t host, RequestId request, uint64_t key) {
    return SendUuid(host, request, {{0, key}, kStart}, kBody);
  }
  ClaimDecision Send(size_t host,
                     RequestId request,
                     uint64_t body_hash = kBody,
                     bool forwarded = false) {
    const UuidKey key{{0, 1}, kStart};
    return table(host).OnRequest(request, key, body_hash, forwarded, now);
  }
  ResultCode GiveUp(size_t host, RequestId request) {
    std::vector<ClaimAction> actions;
    return table(host).OnAbandoned(request, ResultCode::kQueueFull, now,
                                   &actions);
  }

  void Land(const ClaimBatch& batch) {
    log_.push_back({log_.size(), wall, batch});
  }
  void Append(size_t host) {
    now += std::chrono::milliseconds(20);
    const auto batch = table(host).NextBatchToAppend(now);
    if (!batch)
      return;
    Land(*batch);
    table(host).OnAppendResult(batch->number, AppendOutcome::kAppended, now);
  }
  std::vector<ClaimAction> Sync(size_t host) {
    const auto from = log_.begin() + table(host).next_offset();
    return table(host).OnRecords({from, log_.end()}, now);
  }
  /// Appends the host's batch, reads the log and returns the number of requests
  /// that may run as a result.
  int SyncRuns(size_t host) {
    Append(host);
    int runs = 0;
    for (const ClaimAction& action : Sync(host))
      runs += Is<RunRequest>(action.decision);
    return runs;
  }
  /// Truncates the log and appends an empty batch with the log time `time`.
  void LoseBefore(WallTime time) {
    for (auto& table : tables_) {
      table->OnReadStart(log_.size() + 3, log_.size() + 4);
      table->OnRecords({{log_.size() + 3, time, ClaimBatch()}}, now);
    }
    log_.resize(log_.size() + 4);
  }

  TimePoint now;
  WallTime wall = kStart;  // the log's clock

 private:
  /// Indexed by offset; offset 0 is not used.
  std::vector<ClaimRecord> log_{kFirstOffset};
  std::vector<std::unique_ptr<ClaimTable>> tables_;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_UNITTESTS_CLAIMS_CLAIMS_FIXTURE_H_
