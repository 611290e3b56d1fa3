#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace redwing::micro {

/// Runs aOperation until enough time has passed and records the mean time per call under aName.
void MeasureTime(const std::string& aName, const std::function<void()>& aOperation);

/// Records a time that the caller measured.
void RecordTime(const std::string& aName, double aNanoseconds);

/// Records the heap memory that aBuild adds and leaves allocated.
void MeasureMemory(const std::string& aName, const std::function<void()>& aBuild);

/// Records a size in bytes.
void RecordBytes(const std::string& aName, std::uint64_t aBytes);

/// Keeps the compiler from removing a computation whose result is not used.
template<typename T>
void
Keep(const T& aValue)
{
  asm volatile("" : : "g"(&aValue) : "memory");
}

/// Writes all records to standard output as one JSON object.
void PrintRecords();

} // namespace redwing::micro
