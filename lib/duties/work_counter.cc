/// \file
/// Counts the work that one host sends to engines whose number is ordered.

#include "teaselhill/duties/work_counter.h"

#include <utility>

namespace teaselhill::duties {

WorkCounter::WorkCounter() : counts_(std::make_shared<Counts>()) {}

WorkCounter::Request& WorkCounter::Request::operator=(
    Request&& other) noexcept {
  if (this == &other)
    return *this;
  Reset();
  counts_ = std::move(other.counts_);
  row_ = std::exchange(other.row_, nullptr);
  started_ = other.started_;
  return *this;
}

void WorkCounter::Request::OnEvents(uint64_t events, bool late) {
  if (!counts_ || events == 0)
    return;
  const std::lock_guard<std::mutex> lock(counts_->mutex);
  row_->generated_tokens += events;
  if (std::exchange(started_, true))
    return;
  --row_->waiting;
  ++row_->running;
  ++row_->started;
  row_->started_late += late;
}

void WorkCounter::Request::OnRefused() {
  if (!counts_)
    return;
  const std::lock_guard<std::mutex> lock(counts_->mutex);
  ++row_->refused;
}

void WorkCounter::Request::Reset() {
  const std::shared_ptr<Counts> counts = std::move(counts_);
  if (!counts)
    return;
  const std::lock_guard<std::mutex> lock(counts->mutex);
  --(started_ ? row_->running : row_->waiting);
}

WorkCounter::Request WorkCounter::OnSent(const std::string& service,
                                         const std::string& domain,
                                         int tier,
                                         uint64_t prompt_tokens) {
  const std::lock_guard<std::mutex> lock(counts_->mutex);
  EngineWork& row = Row(service, domain, tier);
  ++row.requests;
  row.prompt_tokens += prompt_tokens;
  ++row.waiting;
  Request request;
  request.counts_ = counts_;
  request.row_ = &row;
  return request;
}

void WorkCounter::OnRefused(const std::string& service, int tier) {
  const std::lock_guard<std::mutex> lock(counts_->mutex);
  ++Row(service, "", tier).refused;
}

std::vector<EngineWork> WorkCounter::TakeWork(TimePoint) {
  const std::lock_guard<std::mutex> lock(counts_->mutex);
  std::vector<EngineWork> taken;
  for (auto entry = counts_->rows.begin(); entry != counts_->rows.end();) {
    EngineWork& row = entry->second;
    const bool is_open = row.running > 0 || row.waiting > 0;
    if (is_open || row.requests > 0 || row.refused > 0 ||
        row.generated_tokens > 0)
      taken.push_back(row);
    row.requests = row.started = row.started_late = row.refused = 0;
    row.prompt_tokens = row.generated_tokens = 0;
    // Open requests refer to their row.
    entry = is_open ? std::next(entry) : counts_->rows.erase(entry);
  }
  return taken;
}

EngineWork& WorkCounter::Row(const std::string& service,
                             const std::string& domain,
                             int tier) const {
  EngineWork& row = counts_->rows[{service, domain, tier}];
  row.service = service;
  row.domain = domain;
  row.tier = tier;
  return row;
}

}  // namespace teaselhill::duties
