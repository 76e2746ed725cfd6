#include "greengagespar/direct/route_table.h"

#include <boost/test/unit_test.hpp>

using namespace greengagespar;

namespace {

/// A table of three nested routes of one host, and one API key.
struct TableFixture {
  std::shared_ptr<const RouteTable> Table;

  TableFixture() {
    SiteConfiguration site;
    site.NeedsKeys = true;
    site.Keys["k1"] = {{"butchers"}, std::nullopt};
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
      Route route;
      route.Name = prefix;
      route.Host = "Shop.example";
      route.PathPrefix = prefix;
      route.IsPublic = route.PathPrefix == "/";
      route.Services = {{{"one"}, 3}, {{"two"}, 1}};
      site.Routes.push_back(route);
    }
    Table = makeRouteTable(std::move(site));
  }

  std::string routeOf(std::string_view host, std::string_view target) const {
    const Route *it = findRoute(*Table, host, target);
    return it ? it->Name : "none";
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RouteTables, TableFixture)

BOOST_AUTO_TEST_CASE(route_ofSeveralPrefixes_isTheLongest) {
  BOOST_TEST(routeOf("shop.example", "/a/b/c") == "/a/b/");
  BOOST_TEST(routeOf("shop.example", "/a/c") == "/a/");
  BOOST_TEST(routeOf("SHOP.example", "/x") == "/");
}

BOOST_AUTO_TEST_CASE(route_withQuery_isFoundByItsPathAlone) {
  BOOST_TEST(routeOf("shop.example", "/a?/a/b/") == "/");
}

BOOST_AUTO_TEST_CASE(route_ofUnknownHost_isNone) {
  BOOST_TEST(routeOf("other.example", "/a/") == "none");
}

BOOST_AUTO_TEST_CASE(key_unknown_isAllowedOnPublicRoutesOnly) {
  BOOST_TEST(!checkApiKey(*Table, Table->Site.Routes[0], "k2").IsAllowed);
  BOOST_TEST(checkApiKey(*Table, Table->Site.Routes[2], "").IsAllowed);
}

BOOST_AUTO_TEST_CASE(key_known_namesItsWorkspace) {
  ApiKeyCheck it = checkApiKey(*Table, Table->Site.Routes[0], "k1");
  BOOST_TEST(it.IsAllowed);
  BOOST_TEST(it.Owner.Workspace.Value == "butchers");
}

BOOST_AUTO_TEST_CASE(service_byDraw_followsTheWeights) {
  const Route &route = Table->Site.Routes[0];
  BOOST_TEST(pickService(route, 0.74)->Value == "one");
  BOOST_TEST(pickService(route, 0.76)->Value == "two");
  BOOST_TEST(pickService(route, 1.0)->Value == "two");
}

BOOST_AUTO_TEST_CASE(urgency_allPrioritiesEqual_isNone) {
  BOOST_TEST(!urgencyOf(*Table, Table->Site.Routes[0], {}, {"one"}));
}

BOOST_AUTO_TEST_CASE(urgency_routesAndOwnersDiffer_ownerDecidesThenRoute) {
  SiteConfiguration site = Table->Site;
  site.Routes[0].Priority = 2;
  site.Routes[1].Priority = -1;
  site.Keys["k1"].Priority = 1;
  site.Keys["k2"] = {{"bakers"}, 0};
  auto table = makeRouteTable(site);
  auto urgency = [&](std::size_t route, std::optional<int> owner) {
    return urgencyOf(*table, table->Site.Routes[route], {{}, owner}, {"one"})
        ->Level;
  };
  BOOST_TEST(urgency(1, 0) < urgency(0, 0));
  BOOST_TEST(urgency(0, 0) < urgency(1, 1));
  BOOST_TEST(urgency(1, 1) < urgency(0, 1));
  BOOST_TEST(!urgencyOf(*table, table->Site.Routes[0], {}, {"three"}));
}

BOOST_AUTO_TEST_SUITE_END()
