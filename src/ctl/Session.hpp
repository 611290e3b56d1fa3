#pragma once

#include "ctl/CtlTypes.hpp"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace redwing::ctl {

using Row = std::vector<std::string>;

/// What all commands share: settings, transport and output.
class Session
{
public:
  /// Preconditions: the streams outlive this object.
  Session(CtlSettings aSettings, Transport aTransport, std::ostream& aOut, std::ostream& aErr);

  const CtlSettings& Settings() const { return settings_; }
  std::ostream& Out() { return out_; }
  std::ostream& Err() { return err_; }

  /// Sends a GET and passes the body of a 200 reply to aUse; reports all else.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Exit Read(const std::string& aTarget, const std::function<Exit(const std::string&)>& aUse);

  /// Sends a change with the operation id appended to the target, prints the reply, and waits for
  /// the revision if so asked.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Exit Change(const std::string& aMethod, const std::string& aTarget, const std::string& aBody);

  /// Prints rows under aHead in columns.
  ///
  /// Preconditions: each row has as many cells as aHead. Thread safety: not thread-safe.
  void PrintTable(const Row& aHead, const std::vector<Row>& aRows);

  /// Replaces the pause between two polls of --wait; tests count polls instead of waiting.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetPause(std::function<void()> aPause) { pause_ = std::move(aPause); }

private:
  Exit ReportError(const CtlError& aError, bool aChange);
  Exit ReportProblem(const CtlReply& aReply, bool aChange);
  Exit WaitFor(std::uint64_t aRevision);

  CtlSettings settings_;
  Transport transport_;
  std::ostream& out_;
  std::ostream& err_;
  std::function<void()> pause_;
};

} // namespace redwing::ctl
