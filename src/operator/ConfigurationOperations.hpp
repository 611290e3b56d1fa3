#pragma once

#include "config/ConfigurationEditor.hpp"
#include "operator/LocalHandlers.hpp"

#include <functional>
#include <string>

namespace redwing {

/// Carries out the operators' configuration requests with a ConfigurationEditor.
class ConfigurationOperations
{
public:
  /// Runs a function on the store thread.
  using Post = std::function<void(std::function<void()>)>;
  /// Returns a new API key that cannot be guessed.
  using MakeKey = std::function<std::string()>;

  /// Preconditions: aEditor outlives all requests.
  ConfigurationOperations(ConfigurationEditor& aEditor, Post aPost, MakeKey aMakeKey = RandomKey);

  /// Sets the handlers for configuration, keys and data centres in aHandlers. They hold no
  /// reference to this object.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Install(LocalHandlers& aHandlers) const;

  /// Returns `rw_` and 48 hexadecimal digits from the system's random source.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  static std::string RandomKey();

private:
  void InstallKeys(LocalHandlers& aHandlers) const;

  ConfigurationEditor& editor_;
  Post post_;
  MakeKey makeKey_;
};

} // namespace redwing
