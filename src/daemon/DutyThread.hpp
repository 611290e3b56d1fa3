#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace redwing {

/// One thread that runs one io_context.
class DutyThread
{
public:
  explicit DutyThread(std::string aName);
  ~DutyThread();
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  /// Preconditions: none. Thread safety: callable from any thread.
  boost::asio::io_context& Context() { return context_; }

  /// Starts the thread.
  ///
  /// Preconditions: called once. Thread safety: not thread-safe.
  void Start();

  /// Stops the io_context and joins the thread.
  ///
  /// Preconditions: not called on the thread itself. Thread safety: not thread-safe.
  void Stop();

private:
  std::string name_;
  /// One thread runs the context, so that Asio needs no locks for its handlers.
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

} // namespace redwing
