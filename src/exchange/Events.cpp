#include "exchange/Events.hpp"

namespace redwing {

ExchangeKey
KeyOf(const RequestEvent& aEvent)
{
  return std::visit([](const auto& aAlternative) { return aAlternative.key_; }, aEvent);
}

ExchangeKey
KeyOf(const ResponseEvent& aEvent)
{
  return std::visit([](const auto& aAlternative) { return aAlternative.key_; }, aEvent);
}

} // namespace redwing
