/// \file
/// Several claim tables that share one in-memory log.

#ifndef TEASELHILL_UNITTESTS_CLAIMS_CLAIMS_FIXTURE_H_
#define TEASELHILL_UNITTESTS_CLAIMS_CLAIMS_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "teaselhill/claims/claim_table.h"

namespace teaselhill::claims {

constexpr uint64_t kBodyHash = 42;
const WallTime kStartTime{std::chrono::hours(24 * 365 * 50)};

template <typename T>
bool IsDecision(const ClaimDecision& decision) {
  return std::holds_alternative<T>(decision);
}

inline ResultCode RefusalCode(const ClaimDecision& decision) {
  const auto* refuse = std::get_if<RefuseRequest>(&decision);
  return refuse ? refuse->code : ResultCode::kOk;
}

inline Answer AnswerWithBody(std::string body) {
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
      AppendNextBatch(
          i);  // the empty batch that each table appends at its start
    for (size_t i = 0; i < hosts; ++i)
      ReadLog(i);
  }

  HostIncarnation id(size_t host) const {
    return {"host" + std::to_string(host), 1};
  }
  ClaimTable& table(size_t host) { return *tables_[host]; }
  LogOffset end() const { return log_.size(); }
  const ClaimRecord& record(LogOffset offset) const { return log_[offset]; }

  ClaimDecision SendWithUuid(size_t host,
                             RequestId request,
                             UuidKey key,
                             uint64_t body_hash) {
    return table(host).OnRequest(request, key, body_hash, false, now);
  }
  ClaimDecision SendWithKey(size_t host, RequestId request, uint64_t key) {
    return SendWithUuid(host, request, {{0, key}, kStartTime}, kBodyHash);
  }
  ClaimDecision SendRequest(size_t host,
                            RequestId request,
                            uint64_t body_hash = kBodyHash,
                            bool forwarded = false) {
    const UuidKey key{{0, 1}, kStartTime};
    return table(host).OnRequest(request, key, body_hash, forwarded, now);
  }
  ResultCode AbandonRequest(size_t host, RequestId request) {
    std::vector<ClaimAction> actions;
    return table(host).OnAbandoned(request, ResultCode::kQueueFull, now,
                                   &actions);
  }

  void AppendToLog(const ClaimBatch& batch) {
    log_.push_back({log_.size(), log_time, batch});
  }
  void AppendNextBatch(size_t host) {
    now += std::chrono::milliseconds(20);
    const auto batch = table(host).NextBatchToAppend(now);
    if (!batch)
      return;
    AppendToLog(*batch);
    table(host).OnAppendResult(batch->number, AppendOutcome::kAppended, now);
  }
  std::vector<ClaimAction> ReadLog(size_t host) {
    const auto from = log_.begin() + table(host).next_offset();
    return table(host).OnRecords({from, log_.end()}, now);
  }
  /// Appends the host's batch, reads the log and returns the number of requests
  /// that may run as a result.
  int AppendAndCountRuns(size_t host) {
    AppendNextBatch(host);
    int runs = 0;
    for (const ClaimAction& action : ReadLog(host))
      runs += IsDecision<RunRequest>(action.decision);
    return runs;
  }
  /// Truncates the log and appends an empty batch with the log time `time`.
  void TruncateLog(WallTime time) {
    for (auto& table : tables_) {
      table->OnReadStart(log_.size() + 3, log_.size() + 4);
      table->OnRecords({{log_.size() + 3, time, ClaimBatch()}}, now);
    }
    log_.resize(log_.size() + 4);
  }

  TimePoint now;
  WallTime log_time = kStartTime;  // the log's clock

 private:
  /// Indexed by offset; offset 0 is not used.
  std::vector<ClaimRecord> log_{kFirstOffset};
  std::vector<std::unique_ptr<ClaimTable>> tables_;
};

}  // namespace teaselhill::claims

#endif  // TEASELHILL_UNITTESTS_CLAIMS_CLAIMS_FIXTURE_H_
