#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace bilberryfield {

/** Processor time of this process so far. */
double
ProcessorSeconds();

/** Bytes of the heap that are in use. */
double
HeapBytes();

/** Prints one measured figure as a JSON line; aAt is the size it holds for. */
void
Print(const std::string& aFigure,
      const nlohmann::json& aAt,
      double aValue,
      const std::string& aUnit);

/** Processor time of a call, as the mean over aCalls numbered calls. */
template<typename Function>
double
MicrosecondsPerCall(size_t aCalls, Function aFunction)
{
  double start = ProcessorSeconds();
  for (size_t i = 0; i < aCalls; ++i) {
    aFunction(i);
  }
  return (ProcessorSeconds() - start) * 1e6 / static_cast<double>(aCalls);
}

} // namespace bilberryfield
