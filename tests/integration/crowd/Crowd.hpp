#pragma once

#include "core/Address.hpp"

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace redwing::test {

/// What one caller of a crowd sends: head_, then bodyBytes_ in pieces with a pause after each. The
/// connection stays open until the other side closes it or the crowd ends.
struct CallerPlan
{
  std::string head_;
  /// Bytes on the wire, the framing of chunks included.
  std::size_t bodyBytes_ = 0;
  std::size_t pieceBytes_ = 64 * 1024;
  std::chrono::milliseconds pause_{ 0 };
  /// Text that the body repeats.
  std::string filler_ = "x";
  /// Takes what the other side sends.
  bool reads_ = true;
  /// Returns what a caller sends instead of head_, by its number; empty: all send head_.
  std::function<std::string(std::size_t aCaller)> headOf_{};
};

/// Callers that ignore refusals, all on one thread.
class Crowd
{
public:
  /// Divides aCallers evenly among aAddresses.
  Crowd(const std::vector<Address>& aAddresses, std::size_t aCallers, CallerPlan aPlan);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

private:
  class Caller;

  boost::asio::io_context context_;
  CallerPlan plan_;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::thread thread_;
};

} // namespace redwing::test
