#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace redwing {

/// A number that only grows.
class Counter
{
public:
  /// Preconditions: none. Thread safety: callable from any thread.
  void Add(std::uint64_t aBy = 1) { value_.fetch_add(aBy, std::memory_order_relaxed); }

  /// Preconditions: none. Thread safety: callable from any thread.
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

/// A number that goes up and down.
class Gauge
{
public:
  /// Preconditions: none. Thread safety: callable from any thread.
  void Set(std::int64_t aValue) { value_.store(aValue, std::memory_order_relaxed); }

  /// Preconditions: none. Thread safety: callable from any thread.
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> value_{ 0 };
};

/// Named counters and gauges of one process, rendered in the Prometheus text format.
class CounterRegistry
{
public:
  /// Returns the counter aName with aLabels (`key="value",...`), created on first use. The
  /// reference stays valid for the registry's lifetime; callers on a hot path keep it.
  ///
  /// Preconditions: aName is a valid metric name. Thread safety: callable from any thread.
  Counter& GetCounter(std::string_view aName, std::string_view aLabels = {});

  /// Returns the gauge aName with aLabels, created on first use.
  ///
  /// Preconditions: aName is a valid metric name. Thread safety: callable from any thread.
  Gauge& GetGauge(std::string_view aName, std::string_view aLabels = {});

  /// Renders all metrics as Prometheus text.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  std::string RenderText() const;

private:
  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, std::unique_ptr<Counter>>, std::less<>> counters_;
  std::map<std::string, std::map<std::string, std::unique_ptr<Gauge>>, std::less<>> gauges_;
};

} // namespace redwing
