/// \file
/// Generates arrival times and request contents.

#include "teaselhill/load/arrivals.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "teaselhill/load/json.h"
#include "teaselhill/standin/answer.h"
#include "teaselhill/support/hash.h"

namespace teaselhill::load {

namespace {

double RateFactorAt(const StreamPlan& stream, Duration at) {
  double factor = 1;
  for (const RatePhase& phase : stream.phases) {
    if (at >= phase.from && at < phase.to)
      factor *= phase.factor;
  }
  return factor;
}

/// Returns the largest rate factor of `stream` during the run. Evaluates the
/// factor only at time zero and where a phase starts or ends, because the
/// factor changes nowhere else.
double MaxRateFactor(const StreamPlan& stream) {
  double max_factor = RateFactorAt(stream, Duration::zero());
  for (const RatePhase& phase : stream.phases) {
    max_factor = std::max(max_factor, RateFactorAt(stream, phase.from));
    max_factor = std::max(max_factor, RateFactorAt(stream, phase.to));
  }
  return max_factor;
}

/// Adds the Poisson arrivals of one stream. Draws arrivals at the largest rate
/// of the run; while the rate is lower, discards a random fraction of them
/// (thinning).
void AddArrivals(const Plan& plan, size_t index, std::vector<Arrival>* out) {
  const StreamPlan& stream = plan.streams[index];
  Rng rng(Hash64(stream.name + "#" + std::to_string(index), plan.seed));
  const double max_factor = MaxRateFactor(stream);
  const double rate = stream.rate * max_factor / stream.burst_size;
  if (rate <= 0)
    return;
  const size_t limit = out->size() + plan.max_requests;
  double at_s = 0;
  while (out->size() < limit) {
    at_s += -std::log(1.0 - rng.Uniform()) / rate;
    const Duration at = FromSeconds(at_s);
    if (at >= plan.duration)
      return;
    if (rng.Uniform() * max_factor >= RateFactorAt(stream, at))
      continue;
    for (uint32_t i = 0; i < stream.burst_size; ++i)
      out->push_back({at, index});
  }
}

std::string RandomText(size_t bytes, Rng& rng) {
  std::string text;
  text.reserve(bytes);
  while (text.size() < bytes) {
    const uint64_t draw = rng.Next();
    text += text.size() % 6 == 5 ? ' ' : static_cast<char>('a' + draw % 26);
  }
  return text;
}

}  // namespace

std::vector<Arrival> MakeArrivals(const Plan& plan) {
  std::vector<Arrival> arrivals;
  for (size_t i = 0; i < plan.streams.size(); ++i)
    AddArrivals(plan, i, &arrivals);
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) {
                     return a.arrives_at < b.arrives_at;
                   });
  if (arrivals.size() > plan.max_requests)
    arrivals.resize(plan.max_requests);
  return arrivals;
}

Request MakeRequest(const StreamPlan& stream, uint64_t number, Rng& rng) {
  const uint64_t prefix = rng.Below(stream.prefix_pool);
  Rng prefix_rng(Hash64(stream.name, prefix));
  std::string prompt = RandomText(
      size_t{stream.prefix_tokens} * standin::kBytesPerToken, prefix_rng);
  prompt +=
      " request " + std::to_string(number) + " " +
      RandomText(size_t{stream.prompt_tokens} * standin::kBytesPerToken, rng);
  if (rng.Uniform() < stream.marker_share)
    prompt += " " + stream.marker;
  Request request;
  if (!stream.service.empty()) {
    request.body = prompt;
    request.expected = standin::MakeServiceAnswer("POST", prompt);
    return request;
  }
  const auto tokens =
      standin::MakeAnswer(stream.model, {{"user", prompt}}, stream.max_tokens);
  for (const std::string& token : tokens)
    request.expected += token;
  request.answer_tokens = static_cast<uint32_t>(tokens.size());
  request.body =
      ChatBody(stream.model, prompt, stream.max_tokens, stream.streamed);
  return request;
}

std::string MakeUuid7(WallTime now, Rng& rng) {
  const auto ms = static_cast<uint64_t>(now.time_since_epoch().count());
  const uint64_t high = rng.Next();
  const uint64_t low = rng.Next();
  char text[37];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>((ms >> 16) & 0xffffffff),
                static_cast<unsigned long long>(ms & 0xffff),
                static_cast<unsigned long long>(high & 0xfff),
                static_cast<unsigned long long>(0x8000 | (high >> 50)),
                static_cast<unsigned long long>(low & 0xffffffffffff));
  return text;
}

}  // namespace teaselhill::load
