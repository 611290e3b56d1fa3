#pragma once

#include "exchange/Events.hpp"

#include <concepts>
#include <type_traits>
#include <variant>

namespace redwing::Detail {

/// A later event of an inbound exchange.
template<typename T>
concept RequestAlternative = std::same_as<T, RequestBody> || std::same_as<T, RequestCancel> ||
  std::same_as<T, ResponseCredit> || std::same_as<T, RequestRecall>;

/// An event of one of our own attempts.
template<typename T>
concept ResponseAlternative = !std::is_reference_v<T> && std::is_constructible_v<ResponseEvent, T>;

/// Visitor made of several lambdas.
template<typename... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

inline bool
IsFinal(const ResponseEvent& aEvent)
{
  return std::visit(Overloaded{ [](const ResponseStart& aStart) { return aStart.last_; },
                                [](const ResponseBody& aBody) { return aBody.last_; },
                                [](const ResponseAbort&) { return true; },
                                [](const Refusal&) { return true; },
                                [](const RequestCredit&) { return false; } },
                    aEvent);
}

} // namespace redwing::Detail
