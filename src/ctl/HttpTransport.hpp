#pragma once

#include "ctl/CtlTypes.hpp"

namespace redwing::ctl {

/// Returns a transport that calls the instances in turn: the next one is tried if one cannot be
/// reached before the request is sent, and for reads also after that. It blocks for each call.
///
/// Preconditions: none. Thread safety: callable from any thread; the transport is not thread-safe.
Transport MakeHttpTransport(const CtlSettings& aSettings);

} // namespace redwing::ctl
