#pragma once

#include "ctl/CtlTypes.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace redwing::ctl {

/// Runs redwingctl with aArguments (without the program name) and returns its exit code.
///
/// Preconditions: none. Thread safety: not thread-safe.
int Run(const std::vector<std::string>& aArguments,
        const TransportFactory& aMakeTransport,
        std::ostream& aOut,
        std::ostream& aErr);

} // namespace redwing::ctl
