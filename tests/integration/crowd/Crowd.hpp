#pragma once

#include "core/Address.hpp"

#include <boost/asio.hpp>
#include <chrono>
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
  std::size_t bodyBytes_ = 0;
  std::size_t pieceBytes_ = 64 * 1024;
  std::chrono::milliseconds pause_{ 0 };
  /// Text that the body repeats.
  std::string filler_ = "x";
  /// Takes what the other side sends.
  bool reads_ = true;
};

/// Callers that ignore refusals, all on one thread.
class Crowd
{
public:
  Crowd(const Address& aAddress, std::size_t aCallers, CallerPlan aPlan);
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
