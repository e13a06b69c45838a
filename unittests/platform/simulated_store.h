/// \file
/// Store on simulated time that does not serve for a while.

#ifndef TEASELHILL_UNITTESTS_PLATFORM_SIMULATED_STORE_H_
#define TEASELHILL_UNITTESTS_PLATFORM_SIMULATED_STORE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "platform/store.h"
#include "teaselhill/support/timer_service.h"

namespace platform {

/// What becomes of the requests that an outage meets.
enum class OutageStyle {
  kLost,    ///< they are never answered
  kLate,    ///< they are answered when the store is back
  kClosed,  ///< their connections are closed at once
};

/// Keeps records in memory, and answers a request one step after it was sent or
/// its wait is over. An outage meets the requests in progress when it begins
/// and those that are sent before it ends.
class SimulatedStore : public Store {
 public:
  explicit SimulatedStore(teaselhill::TimerService& timers)
      : timers_(timers),
        steps_(timers.Subscribe(kStep, [this](teaselhill::TimePoint now) {
          EndDueRequests(now);
        })) {
    health().OnEra(era_);
  }

  StoreRequestId ReadRecords(const std::string& topic,
                             uint64_t from_offset,
                             teaselhill::Duration max_wait,
                             teaselhill::Duration timeout,
                             Callback<ReadPage> callback) override {
    return Add(
        topic, from_offset, max_wait, timeout, callback,
        [this, topic, from_offset] { return PageFrom(topic, from_offset); });
  }

  StoreRequestId ListKeys(const std::string& topic,
                          const std::string& after_key,
                          Callback<ListPage> callback) override {
    return Add(topic, 0, {}, kRequestTimeout, callback, [this, topic] {
      ListPage page;
      page.records = topics_[topic];
      page.end_offset = page.records.size();
      return page;
    });
  }

  void AppendRecords(const std::string& topic,
                     const std::vector<KeyedRecord>& records,
                     Callback<uint64_t> callback) override {
    Add(topic, 0, {}, kRequestTimeout, callback,
        [this, topic, records]() -> uint64_t {
          for (const KeyedRecord& record : records)
            Write(topic, record.key, record.value.value_or(""));
          return topics_[topic].size();
        });
  }

  void Cancel(StoreRequestId request) override { requests_.erase(request); }

  std::optional<teaselhill::TimePoint> LastReceivedAt(
      StoreRequestId request) const override {
    const auto found = requests_.find(request);
    const bool receiving =
        found != requests_.end() && found->second.received_bytes > 0;
    return receiving ? std::optional(timers_.Now()) : std::nullopt;
  }

  void Write(const std::string& topic,
             const std::string& key,
             const std::string& value) {
    std::vector<KeyedRecord>& records = topics_[topic];
    records.push_back({records.size(), key, value});
  }

  void BeginOutage(OutageStyle style) {
    is_away_ = true;
    style_ = style;
    for (auto& [id, request] : requests_)
      request.disturbed = true;
  }

  void EndOutage() {
    is_away_ = false;
    if (style_ != OutageStyle::kLate)
      return;
    for (auto& [id, request] : requests_)
      request.disturbed = false;
  }

  /// The requests for the topic that are in progress are never answered.
  void LoseRequests(const std::string& topic) {
    style_ = OutageStyle::kLost;
    for (auto& [id, request] : requests_)
      request.disturbed |= request.topic == topic;
  }

  /// The answer to the next request that is sent for the topic is lost.
  void LoseNextAnswer(const std::string& topic) { lose_next_ = topic; }

  /// Bytes of records that the host's link carries in a second, shared by the
  /// answers that are on their way; zero: no limit.
  void SetLinkRate(uint64_t bytes_per_second) {
    link_bytes_per_step_ = bytes_per_second * kStep.count() / 1000;
  }

  /// The records of the topic before this offset have expired.
  void Expire(const std::string& topic, uint64_t before) {
    first_retained_[topic] = before;
  }

  /// The store comes back from a copy that has the first `records` records of
  /// the topic.
  void Restore(const std::string& topic, size_t records) {
    topics_[topic].resize(records);
    health().OnEra(++era_);
  }

  /// Requests since the start.
  uint64_t request_count() const { return request_count_; }

 private:
  struct Request {
    std::string topic;
    uint64_t from_offset = 0;
    teaselhill::TimePoint sent_at;
    teaselhill::TimePoint wait_ends_at;
    teaselhill::TimePoint given_up_at;
    bool disturbed = false;       ///< by the outage
    uint64_t received_bytes = 0;  ///< of the answer, over a slow link
    std::function<void()> answer;
    std::function<void(teaselhill::ResultCode)> fail;
  };

  template <typename Callback, typename MakeAnswer>
  StoreRequestId Add(const std::string& topic,
                     uint64_t from_offset,
                     teaselhill::Duration max_wait,
                     teaselhill::Duration timeout,
                     Callback callback,
                     MakeAnswer make_answer) {
    Request request;
    request.topic = topic;
    request.from_offset = from_offset;
    request.sent_at = timers_.Now();
    request.wait_ends_at = request.sent_at + max_wait;
    request.given_up_at = request.wait_ends_at + timeout;
    request.disturbed = is_away_ || lose_next_ == topic;
    if (lose_next_ == topic)
      lose_next_.clear();
    request.answer = [callback, make_answer] { callback(make_answer()); };
    request.fail = [callback](teaselhill::ResultCode code) {
      callback({code, "simulated outage"});
    };
    requests_.emplace(++request_count_, std::move(request));
    return request_count_;
  }

  void EndDueRequests(teaselhill::TimePoint now) {
    // The callbacks send further requests, which are not due in this step.
    const std::map<uint64_t, Request> requests = requests_;
    for (const auto& [id, request] : requests) {
      if (now == request.sent_at || requests_.count(id) == 0)
        continue;
      if (request.disturbed && style_ == OutageStyle::kClosed)
        Fail(id, request, teaselhill::ResultCode::kUpstreamLost);
      else if (!request.disturbed && IsAnswered(request, now)) {
        if (HasArrived(requests_.at(id)))
          Answer(id, request);
      } else if (now >= request.given_up_at)
        Fail(id, request, teaselhill::ResultCode::kTimedOut);
    }
  }

  bool IsAnswered(const Request& request, teaselhill::TimePoint now) {
    return now >= request.wait_ends_at ||
           topics_[request.topic].size() > request.from_offset;
  }

  /// Whether the link has carried the whole answer.
  bool HasArrived(Request& request) {
    if (link_bytes_per_step_ == 0)
      return true;
    uint64_t bytes = 0;
    const std::vector<KeyedRecord>& records = topics_[request.topic];
    for (uint64_t at = request.from_offset; at < records.size(); ++at)
      bytes += records[at].value->size();
    const auto receiving = static_cast<uint64_t>(
        std::count_if(requests_.begin(), requests_.end(), [](const auto& each) {
          return !each.second.disturbed && each.second.received_bytes > 0;
        }));
    request.received_bytes +=
        link_bytes_per_step_ / std::max<uint64_t>(receiving, 1);
    return request.received_bytes >= bytes;
  }

  void Answer(uint64_t id, const Request& request) {
    if (requests_.erase(id) != 0)
      request.answer();
  }

  void Fail(uint64_t id, const Request& request, teaselhill::ResultCode code) {
    if (requests_.erase(id) != 0)
      request.fail(code);
  }

  ReadPage PageFrom(const std::string& topic, uint64_t from_offset) {
    const std::vector<KeyedRecord>& records = topics_[topic];
    ReadPage page;
    page.end_offset = records.size();
    page.first_retained_offset = first_retained_[topic];
    page.offset_dropped = from_offset < page.first_retained_offset;
    if (page.offset_dropped)
      return page;
    for (uint64_t at = from_offset; at < records.size(); ++at)
      page.records.push_back(records[at]);
    return page;
  }

  static constexpr std::chrono::milliseconds kStep{5};

  teaselhill::TimerService& timers_;
  std::map<std::string, std::vector<KeyedRecord>> topics_;
  std::map<std::string, uint64_t> first_retained_;  ///< offsets, by topic
  std::map<uint64_t, Request> requests_;            ///< in progress, by number
  uint64_t request_count_ = 0;
  StoreEra era_ = 1;
  bool is_away_ = false;
  std::string lose_next_;  ///< topic
  uint64_t link_bytes_per_step_ = 0;
  OutageStyle style_ = OutageStyle::kLost;
  teaselhill::TimerSubscription steps_;
};

}  // namespace platform

#endif  // TEASELHILL_UNITTESTS_PLATFORM_SIMULATED_STORE_H_
