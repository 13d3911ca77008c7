package review;

import java.util.List;

/** Configurations of a small installation with two services. */
final class Config {
    private Config() {}

    /** A tenant and its keys. */
    record Tenant(String name, List<String> keys) {}

    static String text(int version, List<Tenant> tenants) {
        List<String> texts =
                tenants.stream()
                        .map(
                                tenant ->
                                        "{\"name\":\"%s\",\"api_keys\":[%s],\"priority\":1}"
                                                .formatted(tenant.name(), quoted(tenant.keys())))
                        .toList();
        return """
        {"version":%d,"routes":[
         {"name":"read","hostname":"small.example","path_prefix":"/read/","route_type":"safe",
          "timeout_ms":1500,"target_latency_ms":400,"priority":2,"service":"desk",
          "max_attempts":2,"public":false},
         {"name":"notice","hostname":"small.example","path_prefix":"/notice/",
          "route_type":"unsafe","timeout_ms":1500,"target_latency_ms":400,"priority":2,
          "service":"desk","max_attempts":1,"public":false},
         {"name":"once","hostname":"small.example","path_prefix":"/once/",
          "route_type":"streaming","timeout_ms":12000,"target_latency_ms":800,"priority":1,
          "service":"llm","max_attempts":1,"public":false,"session_affinity":true,
          "resumable":false,"gap_target_ms":300},
         {"name":"draft","hostname":"small.example","path_prefix":"/draft/",
          "route_type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":0,
          "service":"llm","max_attempts":2,"public":false,"session_affinity":true,
          "resumable":true,"gap_target_ms":300}],
         "services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1",
           "tls":false},
          {"name":"llm","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
          "idle_timeout_ms":15000},
         "tenants":[%s]}"""
                .formatted(version, String.join(",", texts));
    }

    private static String quoted(List<String> words) {
        return String.join(",", words.stream().map(word -> "\"" + word + "\"").toList());
    }
}
