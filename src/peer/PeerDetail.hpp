#pragma once

#include "exchange/Events.hpp"

#include <variant>

namespace redwing::Detail {

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
