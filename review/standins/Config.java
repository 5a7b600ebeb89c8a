/** The operator's configuration of a small deployment. */
final class Config {

    private Config() {}

    /** A model route that may be resumed, one that may not, and the routes of a plain service. */
    static String version(int version) {
        return """
                {"version":%d,"routes":[
                {"name":"r-stream","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":15000,
                "targetLatencyMs":800,"priority":0,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,
                "resumable":true,"gapAimMs":400},
                {"name":"r-brief","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"stream","timeoutMs":12000,
                "targetLatencyMs":400,"priority":1,"service":"huvo11a","maxAttempts":1,"public":false,"sticky":true,
                "resumable":false,"gapAimMs":400},
                {"name":"r-lookup","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"non_idempotent",
                "timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false},
                {"name":"r-order","host":"ficu95.example","pathPrefix":"/gaso118/","kind":"non_idempotent",
                "timeoutMs":15000,"targetLatencyMs":800,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false},
                {"name":"r-screen","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"idempotent",
                "timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false}],
                "services":[{"name":"huvo11a","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,
                "engine":{"slots":11,"kvTokens":447284}},
                {"name":"wuno96b","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn","n2ctnfzs989anu6wsjnb"],"priority":1,
                "unit":"tokens","plainTokens":200,"perS":2592520,"burst":2592520}]}
                """
                .formatted(version);
    }
}
