/// \file
/// Append, read and truncation of the streams of the stand-in log.

#include "teaselhill/standin/log_store.h"

#include <algorithm>

namespace teaselhill::standin {

Result<uint64_t> LogStore::Append(const std::string& name,
                                  std::vector<std::string> records,
                                  TimePoint now,
                                  WallTime wall) {
  if (!ConsumeAppendQuota(records.size(), now)) {
    return {ResultCode::kLogRateLimited, "append rate exceeded"};
  }
  Stream& stream = TruncateStream(name, now);
  const uint64_t first = stream.next_offset;
  for (std::string& data : records) {
    stream.records.push_back(
        {{stream.next_offset++, wall.time_since_epoch().count(),
          std::move(data)},
         now});
  }
  return first;
}

Result<LogPage> LogStore::Read(const std::string& name,
                               uint64_t from,
                               size_t limit,
                               TimePoint now) {
  const Stream& stream = TruncateStream(name, now);
  LogPage page;
  page.first_retained = stream.next_offset - stream.records.size();
  page.next_offset = stream.next_offset;
  if (from < page.first_retained) {
    return {ResultCode::kOffsetDropped,
            "first retained offset is " + std::to_string(page.first_retained)};
  }
  for (uint64_t offset = from;
       offset < page.next_offset && page.records.size() < limit; ++offset) {
    page.records.push_back(stream.records[offset - page.first_retained].record);
  }
  return page;
}

uint64_t LogStore::first_retained(const std::string& name, TimePoint now) {
  const Stream& stream = TruncateStream(name, now);
  return stream.next_offset - stream.records.size();
}

LogStore::Stream& LogStore::TruncateStream(const std::string& name,
                                           TimePoint now) {
  Stream& stream = streams_[name];
  while (!stream.records.empty() &&
         (stream.records.size() > config_.retained_records ||
          stream.records.front().appended_at + config_.retention < now))
    stream.records.pop_front();
  return stream;
}

bool LogStore::ConsumeAppendQuota(size_t records, TimePoint now) {
  const double elapsed = ToSeconds(now - refilled_at_);
  refilled_at_ = now;
  available_appends_ =
      std::min(config_.appends_per_second,
               available_appends_ + elapsed * config_.appends_per_second);
  // An append may have more records than the token bucket can hold. Such an
  // append requires a full bucket and makes the balance negative.
  const double cost = static_cast<double>(records);
  if (available_appends_ < std::min(cost, config_.appends_per_second))
    return false;
  available_appends_ -= cost;
  return true;
}

}  // namespace teaselhill::standin
