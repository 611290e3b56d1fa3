#pragma once

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace redwing::bench {

/// One child process; it is stopped by its id when the object goes away, and by the kernel when the
/// harness ends. Not thread-safe.
class Process
{
public:
  /// Starts the program with its output appended to aLog; throws when it can't be started.
  Process(const std::string& aProgram,
          std::vector<std::string> aArguments,
          const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  bool Running() const;
  /// Sends SIGTERM and waits; kills the process after aLimitMs.
  void Stop(int aLimitMs = 3000);
  /// Waits for the end; returns the exit code, or -1 after aLimitMs.
  int Wait(int aLimitMs);
  /// Seconds of processor time used by the threads whose name is aThread; all threads if empty.
  double CpuSeconds(const std::string& aThread = {}) const;
  double RssMb() const;
  /// Returns the id of the process.
  int Id() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace redwing::bench
