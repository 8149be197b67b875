#pragma once

#include "Net.h"

#include <cstdio>

namespace review {

/** Lines of record.txt, with the time since the start. */
class Record
{
public:
  bool Open(const std::string& aPath)
  {
    m_file = std::fopen(aPath.c_str(), "w");
    m_startMs = NowMs();
    return m_file != nullptr;
  }

  void Line(const std::string& aText)
  {
    std::lock_guard lock(m_mutex);
    std::fprintf(m_file,
                 "%9.3f %s\n",
                 static_cast<double>(NowMs() - m_startMs) / 1000,
                 aText.c_str());
    std::fflush(m_file);
  }

  int64_t StartMs() const { return m_startMs; }

private:
  std::mutex m_mutex;
  std::FILE* m_file = nullptr;
  int64_t m_startMs = 0;
};

} // namespace review
