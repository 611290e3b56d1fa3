#pragma once

#include <string>

namespace CLI {
class App;
}

namespace redwing::ctl {

/// Returns a completion script for bash or zsh made from the commands and options of aApp.
///
/// Preconditions: aShell is `bash` or `zsh`. Thread safety: not thread-safe.
std::string CompletionScript(const CLI::App& aApp, const std::string& aShell);

} // namespace redwing::ctl
