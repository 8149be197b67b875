#include "ServiceConfig.h"

#include <criterion/criterion.h>

using namespace bilberryfield;

namespace {

nlohmann::json
GoodFile()
{
  return { { "service", "catalogue" },
           { "address", "10.0.0.1:80" },
           { "server_labels", { "catalogue" } },
           { "default_class", "lookup" },
           { "classes", { { { "name", "lookup" } } } } };
}

std::vector<UserMistake>
MistakesOf(const nlohmann::json& aFile)
{
  ServiceParse parsed = ParseServiceConfig(aFile);
  return parsed ? std::vector<UserMistake>{} : parsed.error();
}

} // namespace

Test(ServiceFile, AcceptsAGoodFileAndWritesItBack)
{
  ServiceParse parsed = ParseServiceConfig(GoodFile());
  cr_assert(parsed.has_value());
  cr_assert(ParseServiceConfig(ToJson(*parsed)) == parsed);
}

Test(ServiceFile, ListsEveryMistakeWithItsPath)
{
  nlohmann::json file = GoodFile();
  file["address"] = "10.0.0.1";
  file["colour"] = "red";
  file["classes"][0]["min_share"] = 1.5;
  file["classes"][0]["queue_limit"] = "many";
  std::vector<std::string> paths;
  for (const UserMistake& mistake : MistakesOf(file)) {
    paths.push_back(mistake.m_path);
    cr_assert(!mistake.m_found.empty());
    cr_assert(!mistake.m_allowed.empty());
  }
  std::vector<std::string> expected = {
    "/classes/0/min_share", "/classes/0/queue_limit", "/colour", "/address"
  };
  cr_assert(paths == expected);
}

Test(ServiceFile, RejectsSharesAboveOneAndUnknownDefaultClass)
{
  nlohmann::json file = GoodFile();
  file["default_class"] = "browse";
  file["classes"] = { { { "name", "a" }, { "min_share", 0.6 } },
                      { { "name", "b" }, { "min_share", 0.6 } } };
  cr_assert(MistakesOf(file).size() == 2);
}

Test(ServiceFile, SurvivesAnythingThatIsNotAnObject)
{
  for (const char* text : { "null", "[]", "3", "\"x\"", "{}" }) {
    cr_assert(!MistakesOf(nlohmann::json::parse(text)).empty());
  }
}
