#include "Measure.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace redwing::micro {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kLeastTime{ 200 };
constexpr std::uint64_t kLeastCalls = 1;

nlohmann::ordered_json&
Records()
{
  static nlohmann::ordered_json records = nlohmann::ordered_json::object();
  return records;
}

std::uint64_t
HeapBytes()
{
  const auto info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace

void
MeasureTime(const std::string& aName, const std::function<void()>& aOperation)
{
  std::uint64_t calls = 0;
  std::uint64_t batch = 1;
  const auto start = SteadyClock::now();
  auto end = start;
  while (end - start < kLeastTime || calls < kLeastCalls) {
    for (std::uint64_t i = 0; i < batch; ++i) {
      aOperation();
    }
    calls += batch;
    batch = std::min<std::uint64_t>(batch * 2, 1024);
    end = SteadyClock::now();
  }
  RecordTime(aName,
             std::chrono::duration<double, std::nano>(end - start).count() /
               static_cast<double>(calls));
}

void
RecordTime(const std::string& aName, double aNanoseconds)
{
  Records()[aName]["ns"] = aNanoseconds;
  std::cerr << aName << " " << aNanoseconds << " ns\n";
}

void
MeasureMemory(const std::string& aName, const std::function<void()>& aBuild)
{
  const std::uint64_t before = HeapBytes();
  aBuild();
  const std::uint64_t after = HeapBytes();
  RecordBytes(aName, after > before ? after - before : 0);
}

void
RecordBytes(const std::string& aName, std::uint64_t aBytes)
{
  Records()[aName]["bytes"] = aBytes;
  std::cerr << aName << " " << aBytes << " bytes\n";
}

void
PrintRecords()
{
  std::cout << Records().dump(2) << "\n";
}

} // namespace redwing::micro
