#include "core/Counters.hpp"

namespace redwing {

namespace {

template<typename Families>
auto&
FindOrCreate(Families& aFamilies, std::string_view aName, std::string_view aLabels)
{
  auto& slot = aFamilies[std::string(aName)][std::string(aLabels)];
  if (!slot) {
    slot = std::make_unique<typename std::decay_t<decltype(slot)>::element_type>();
  }
  return *slot;
}

template<typename Families>
void
Render(const Families& aFamilies, std::string_view aType, std::string& aText)
{
  for (const auto& [name, series] : aFamilies) {
    aText.append("# TYPE ").append(name).append(" ").append(aType).append("\n");
    for (const auto& [labels, metric] : series) {
      aText.append(name);
      if (!labels.empty()) {
        aText.append("{").append(labels).append("}");
      }
      aText.append(" ").append(std::to_string(metric->Value())).append("\n");
    }
  }
}

} // namespace

Counter&
CounterRegistry::GetCounter(std::string_view aName, std::string_view aLabels)
{
  std::lock_guard lock(mutex_);
  return FindOrCreate(counters_, aName, aLabels);
}

Gauge&
CounterRegistry::GetGauge(std::string_view aName, std::string_view aLabels)
{
  std::lock_guard lock(mutex_);
  return FindOrCreate(gauges_, aName, aLabels);
}

std::string
CounterRegistry::RenderText() const
{
  std::lock_guard lock(mutex_);
  std::string text;
  Render(counters_, "counter", text);
  Render(gauges_, "gauge", text);
  return text;
}

} // namespace redwing
