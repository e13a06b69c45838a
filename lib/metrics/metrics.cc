/// \file
/// prometheus-cpp adapter.

#include "teaselhill/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace teaselhill {

namespace {

const prometheus::Histogram::BucketBoundaries& FirstTokenBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 3, 5, 10, 30};
  return buckets;
}

const prometheus::Histogram::BucketBoundaries& AnswerBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.1, 0.25, 0.5, 1, 2, 5, 10, 20, 40, 80, 160};
  return buckets;
}

const prometheus::Histogram::BucketBoundaries& ControlDelayBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 1, 5};
  return buckets;
}

}  // namespace

class Metrics::Impl {
 public:
  prometheus::Gauge& FindGauge(const std::string& name,
                               const std::string& help) {
    const std::lock_guard<std::mutex> lock(mutex);
    prometheus::Gauge*& gauge = gauges[name];
    if (!gauge)
      gauge = &prometheus::BuildGauge()
                   .Name(name)
                   .Help(help)
                   .Register(registry)
                   .Add({});
    return *gauge;
  }

  void SetGauges(const std::string& name,
                 const std::string& help,
                 const std::string& label,
                 const std::map<std::string, double>& values) {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto [entry, added] = labelled.try_emplace(name);
    LabelledGauges& family = entry->second;
    if (added)
      family.family =
          &prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    for (const auto& [value, gauge] : family.gauges) {
      if (values.count(value) == 0)
        gauge->Set(0);
    }
    for (const auto& [value, figure] : values) {
      prometheus::Gauge*& gauge = family.gauges[value];
      if (!gauge)
        gauge = &family.family->Add({{label, value}});
      gauge->Set(figure);
    }
  }

  struct LabelledGauges {
    prometheus::Family<prometheus::Gauge>* family = nullptr;
    std::map<std::string, prometheus::Gauge*> gauges;  ///< by label value
  };

  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& requests =
      prometheus::BuildCounter()
          .Name("teaselhill_requests_total")
          .Help("Requests by customer, class, outcome and result code")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& attained =
      prometheus::BuildCounter()
          .Name("teaselhill_answers_total")
          .Help("Answers by class and whether the target was met")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& first_token =
      prometheus::BuildHistogram()
          .Name("teaselhill_first_token_seconds")
          .Help("Time from arrival to the first token")
          .Register(registry);
  prometheus::Family<prometheus::Histogram>& answers =
      prometheus::BuildHistogram()
          .Name("teaselhill_answer_seconds")
          .Help("Time from arrival to the end of the answer")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& tokens =
      prometheus::BuildCounter()
          .Name("teaselhill_tokens_total")
          .Help("Tokens delivered by class")
          .Register(registry);
  prometheus::Family<prometheus::Counter>& wasted =
      prometheus::BuildCounter()
          .Name("teaselhill_wasted_tokens_total")
          .Help("Tokens computed for no answer, by cause")
          .Register(registry);
  prometheus::Histogram& control_delay =
      prometheus::BuildHistogram()
          .Name("teaselhill_control_delay_seconds")
          .Help("How much later than due the control thread ran")
          .Register(registry)
          .Add({}, ControlDelayBuckets());
  prometheus::Family<prometheus::Counter>& attempts =
      prometheus::BuildCounter()
          .Name("teaselhill_attempts_total")
          .Help("Sends to upstreams by kind")
          .Register(registry);
  std::mutex mutex;
  std::map<std::string, prometheus::Gauge*> gauges;
  std::map<std::string, LabelledGauges> labelled;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::CountOutcome(const std::string& customer,
                           const std::string& class_name,
                           ResultCode code) {
  impl_->requests
      .Add({{"customer", customer},
            {"class", class_name},
            {"outcome", std::string(OutcomeName(Describe(code).outcome))},
            {"code", std::to_string(static_cast<int>(code))}})
      .Increment();
}

void Metrics::ObserveFirstToken(const std::string& class_name,
                                Duration latency) {
  impl_->first_token.Add({{"class", class_name}}, FirstTokenBuckets())
      .Observe(ToSeconds(latency));
}

void Metrics::ObserveAnswer(const std::string& class_name,
                            Duration latency,
                            bool within_target) {
  impl_->answers.Add({{"class", class_name}}, AnswerBuckets())
      .Observe(ToSeconds(latency));
  impl_->attained
      .Add({{"class", class_name},
            {"within_target", within_target ? "true" : "false"}})
      .Increment();
}

void Metrics::CountTokens(const std::string& class_name, uint64_t tokens) {
  impl_->tokens.Add({{"class", class_name}})
      .Increment(static_cast<double>(tokens));
}

void Metrics::CountWastedTokens(const std::string& cause, uint64_t tokens) {
  impl_->wasted.Add({{"cause", cause}}).Increment(static_cast<double>(tokens));
}

void Metrics::CountAttempt(const std::string& kind) {
  impl_->attempts.Add({{"kind", kind}}).Increment();
}

void Metrics::SetGauge(const std::string& name,
                       const std::string& help,
                       double value) {
  impl_->FindGauge(name, help).Set(value);
}

void Metrics::ObserveControlDelay(Duration delay) {
  impl_->control_delay.Observe(ToSeconds(delay));
}

void Metrics::SetGauges(const std::string& name,
                        const std::string& help,
                        const std::string& label,
                        const std::map<std::string, double>& values) {
  impl_->SetGauges(name, help, label, values);
}

std::string Metrics::Exposition() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace teaselhill
