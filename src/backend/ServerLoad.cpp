#include "backend/ServerLoad.hpp"

#include <charconv>
#include <system_error>

namespace redwing {

namespace {

/// Reads a number from the start of aText and removes it together with the comma after it; returns
/// whether there was a number that ends with a comma or the text.
template<typename Number>
bool
TakeNumber(std::string_view& aText, Number& aNumber)
{
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  if (parsed.ec != std::errc{}) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(parsed.ptr - aText.data()));
  if (aText.empty()) {
    return true;
  }
  const bool separated = aText.front() == ',';
  aText.remove_prefix(1);
  return separated;
}

} // namespace

std::optional<ServerLoad>
ParseServerLoad(std::string_view aText)
{
  ServerLoad load;
  if (!TakeNumber(aText, load.running_) || !TakeNumber(aText, load.waiting_) ||
      !TakeNumber(aText, load.slots_)) {
    return std::nullopt;
  }
  constexpr double kNormalPercent = 100;
  constexpr double kMaxPercent = 10'000;
  double percent = 0;
  if (TakeNumber(aText, percent) && percent > 0 && percent < kMaxPercent) {
    load.slowdown_ = percent / kNormalPercent;
  }
  return load;
}

} // namespace redwing
