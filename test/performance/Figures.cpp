#include "Figures.h"

#include <ctime>
#include <iostream>
#include <malloc.h>

namespace bilberryfield {

double
ProcessorSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double
HeapBytes()
{
  struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void
Print(const std::string& aFigure,
      const nlohmann::json& aAt,
      double aValue,
      const std::string& aUnit)
{
  nlohmann::ordered_json line = {
    { "figure", aFigure }, { "at", aAt }, { "value", aValue }, { "unit", aUnit }
  };
  std::cout << line.dump() << std::endl;
}

} // namespace bilberryfield
