// The two deployments of the brief, at their first size, as far as the tests need them.
#pragma once

#include "deployment.hpp"

namespace review {

inline Site actas_bogota() {
  Site site;
  site.name = "actas-bogota";
  site.zones = {"cali", "chapinero", "medellin", "usaquen"};
  site.types = {{"ligera", 8, 0, 16, 0.5, 0.15, 50, 0.4, {"chapinero", "usaquen", "medellin", "cali"}, 50},
                {"pesada", 64, 0, 128, 4.31, 1.23, 25, 0.25, {"chapinero", "usaquen", "cali"}, 25}};
  site.teams = {"audio", "dictado", "voces", "revision", "formato", "clientes"};
  site.objectives = Json::array({{{"kind", "deadline"}, {"class", "rutina"}, {"share", 0.9}, {"times", 1.0}},
                                 {{"kind", "deadline"}, {"class", "urgente"}, {"share", 0.95}, {"times", 1.0}}});
  site.report_s = 2.5;
  site.lease_s = 14;
  site.cancel_s = 44;
  site.gang_wait_s = 50;
  site.gang_peer_s = 8;
  site.state = {200, 20, 4096, 8};
  site.cloud_rps = 3;
  site.list_lag_s = 3;
  site.cloud_latency_s = 0.25;
  site.core_share = 0.08;
  site.ram_mb = 72;
  site.fd_limit = 1200;
  site.restart_s = 5;
  return site;
}

inline Site arniaviva_trento() {
  Site site;
  site.name = "arniaviva-trento";
  site.zones = {"milano", "trento"};
  site.types = {{"medio", 16, 0, 64, 0.97, 0.35, 50, 1.0, {"trento", "milano"}, 50}};
  site.teams = {"sensori", "apicoltori", "modelli"};
  site.objectives = Json::array({{{"kind", "finished"}, {"class", "pesate"}, {"share", 0.93}, {"within_s", 120.0}},
                                 {{"kind", "finished"}, {"class", "pesate"}, {"share", 0.96}, {"within_s", 200.0}},
                                 {{"kind", "deadline"}, {"class", "allarmi"}, {"share", 0.95}, {"times", 1.0}},
                                 {{"kind", "finished"}, {"class", "ronzio"}, {"share", 0.93}, {"within_s", 150.0}},
                                 {{"kind", "finished"}, {"class", "ronzio"}, {"share", 0.97}, {"within_s", 250.0}}});
  site.report_s = 3;
  site.lease_s = 45;
  site.cancel_s = 75;
  site.gang_wait_s = 30;
  site.gang_peer_s = 6;
  site.state = {120, 35, 4096, 8};
  site.cloud_rps = 8;
  site.list_lag_s = 3;
  site.cloud_latency_s = 0.08;
  site.core_share = 0.24;
  site.ram_mb = 200;
  site.fd_limit = 4000;
  site.restart_s = 6;
  return site;
}

}  // namespace review
