#include "intake/OutcomeCounters.hpp"

#include <algorithm>

namespace redwing::Detail {

namespace {

constexpr unsigned kStatusClass = 100;

std::string
Labels(const std::string& aWorkspace, std::string_view aCode)
{
  std::string labels = "workspace=\"";
  return labels.append(aWorkspace).append("\",code=\"").append(aCode).append("\"");
}

} // namespace

OutcomeCounters::OutcomeCounters(CounterRegistry& aRegistry)
  : registry_(aRegistry)
{
}

void
OutcomeCounters::OnResponse(const std::string& aWorkspace, unsigned aStatus)
{
  const std::size_t index = std::min<std::size_t>(aStatus / kStatusClass, kClasses - 1);
  Counter*& counter = Of(aWorkspace).responses_[index];
  if (counter == nullptr) {
    counter = &registry_.GetCounter("redwing_responses_total",
                                    Labels(aWorkspace, std::to_string(index) + "xx"));
  }
  counter->Add();
}

void
OutcomeCounters::OnRefusal(const std::string& aWorkspace, ErrorCode aCode, Outcome aOutcome)
{
  Counter*& counter =
    Of(aWorkspace).refusals_[static_cast<std::size_t>(aCode)][static_cast<std::size_t>(aOutcome)];
  if (counter == nullptr) {
    std::string labels = Labels(aWorkspace, ToText(aCode));
    labels.append(",outcome=\"").append(ToText(aOutcome)).append("\"");
    counter = &registry_.GetCounter("redwing_refusals_total", labels);
  }
  counter->Add();
}

OutcomeCounters::PerWorkspace&
OutcomeCounters::Of(const std::string& aWorkspace)
{
  return workspaces_[aWorkspace];
}

} // namespace redwing::Detail
